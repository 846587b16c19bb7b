"""Each proof can still be taken out of the code: what a mutation replaces stands
once in the file that it names. Code that moves would leave proofs behind that
nobody can run."""
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
