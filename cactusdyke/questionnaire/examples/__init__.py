"""The worked examples that ship with the package."""

from __future__ import annotations

import importlib.resources

NAMES = ("derwent", "tokachi")


def read(name: str) -> str:
    """Returns a worked example in JSON with comments.

    Raises:
        LookupError: There is no example of that name.
    """
    if name not in NAMES:
        raise LookupError(f"no example {name!r}; take one of {NAMES}")
    resource = importlib.resources.files(__name__) / f"{name}.jsonc"
    return resource.read_text(encoding="utf-8")
