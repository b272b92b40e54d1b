"""Every request begins at once, whatever is under way."""

from __future__ import annotations

from cactusdyke.application import Application, ExtensionMetadata
from cactusdyke.limits.admission import OpenAdmission


def setup(app: Application) -> ExtensionMetadata:
    """Registers an admission that refuses nothing."""
    app.setup_extension("cactusdyke.pipeline")
    app.add_service("admission", OpenAdmission())
    return ExtensionMetadata(version="1")
