"""Says what changed under a submission that lost a race."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from cactusdyke.errors import Failure, FailureKind

if TYPE_CHECKING:
    from cactusdyke.configuration import objects
    from cactusdyke.configuration.history import History

MAX_NAMED_REVISIONS = 5


async def describe(
    history: History, base: int, newest: objects.Head
) -> Err[Failure]:
    """Returns a conflict that names what changed since `base` and by whom.

    Where the store does not give what was between, only the newest revision
    is named: the submission is refused all the same.
    """
    between = await history.between(base, newest)
    heads = [*between.unwrap_or([]), newest]
    shown = "; ".join(_line(head) for head in heads[-MAX_NAMED_REVISIONS:])
    return Err(
        Failure(
            kind=FailureKind.CONFLICT,
            detail=(
                f"The submission was made against revision {base}, but"
                f" revision {newest.revision} has been accepted: {shown}"
            ),
        )
    )


def _line(head: objects.Head) -> str:
    names = ", ".join(head.changed) or "nothing"
    more = head.changed_count - len(head.changed)
    if more > 0:
        names += f" and {more} more"
    return f"revision {head.revision} by {head.operator} changed {names}"
