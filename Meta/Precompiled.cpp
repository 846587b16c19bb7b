// Gives the precompiled header a target of its own.
