"""Orders to engines under a fenced lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.application import ExtensionMetadata

if TYPE_CHECKING:
    from cactusdyke.application import Application


def setup(app: Application) -> ExtensionMetadata:
    """Registers nothing yet: no role gives orders to engines."""
    del app
    return ExtensionMetadata(version="1")
