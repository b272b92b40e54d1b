"""What an operator submits, and what became of it."""

from __future__ import annotations

import attrs

from cactusdyke.configuration import model


@attrs.frozen(kw_only=True)
class Submission:
    """A configuration that an operator wants in force.

    Attributes:
        id: Chosen by the submitter; a repeated one is recognised.
        operator: Who submits.
        configuration: What to put in force, its revision is ignored; None
            to go back to `from_revision`.
        from_revision: The revision to go back to.
        base_revision: The revision that the operator saw, None for the one
            accepted last when the submission is taken in hand.
    """

    id: str
    operator: str
    configuration: model.Configuration | None = None
    from_revision: int | None = None
    base_revision: int | None = None


@attrs.frozen(kw_only=True)
class Accepted:
    """An accepted submission.

    Attributes:
        revision: The revision that it became.
        operator: Who submitted it.
        content: Digest of what was submitted.
        changed: Names of changed parts, the first few.
        changed_count: How many parts were changed.
        repeated: Whether it had been accepted before it was sent this time.
    """

    revision: int
    operator: str = ""
    content: str = ""
    changed: tuple[str, ...] = ()
    changed_count: int = 0
    repeated: bool = False
