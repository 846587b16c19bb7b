"""Reads and applies mutations, which remove a mechanism from a copy of the tree
to measure its effect (Meta/ablate) or to check its test (Meta/prove).
"""
import re


def read(path):
    """Returns the fields of the file's head, the old text and the new text."""
    with open(path) as file:
        text = file.read()
    head, old, new = re.split(r"^--- (?:old|new)\n", text, flags=re.M)
    fields = dict(line.split(": ", 1) for line in head.strip().splitlines())
    # The line breaks before the markers and at the end don't belong to the texts.
    return fields, old[:-1], new[:-1]


def apply(path, old, new):
    """Replaces the old text in the file. Returns the file's previous contents, or
    None if the old text does not occur exactly once."""
    with open(path) as file:
        text = file.read()
    if text.count(old) != 1:
        return None
    with open(path, "w") as file:
        file.write(text.replace(old, new))
    return text
