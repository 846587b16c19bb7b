"""Reads a mutation: a mechanism of the product that is taken out of a copy of
the tree, to see what it is worth (Meta/ablate) or what guards it (Meta/prove).
"""
import re


def read(path):
    """\\returns the fields of the file's head, the old text and the new."""
    with open(path) as file:
        text = file.read()
    head, old, new = re.split(r"^--- (?:old|new)\n", text, flags=re.M)
    fields = dict(line.split(": ", 1) for line in head.strip().splitlines())
    # The line breaks before the markers and at the end are not of the texts.
    return fields, old[:-1], new[:-1]


def apply(path, old, new):
    """\\returns what stood in the file, or None where the old text does not
    stand there once."""
    with open(path) as file:
        text = file.read()
    if text.count(old) != 1:
        return None
    with open(path, "w") as file:
        file.write(text.replace(old, new))
    return text
