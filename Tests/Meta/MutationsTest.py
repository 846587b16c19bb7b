"""Checks that every mutation still applies: the text that it replaces must occur
exactly once in its file. Guards against changes of the code that leave mutations
behind which Meta/prove can't apply."""
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "Meta"))
import mutation

FOLDER = os.path.join(ROOT, "Meta", "Mutations")


def is_stale(name):
    fields, old, _ = mutation.read(os.path.join(FOLDER, name))
    with open(os.path.join(ROOT, fields["file"])) as file:
        return file.read().count(old) != 1


stale = [name for name in sorted(os.listdir(FOLDER)) if is_stale(name)]
print("stale: " + ", ".join(stale) if stale else "no stale mutation")
sys.exit(1 if stale else 0)
