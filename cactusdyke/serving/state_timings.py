"""The times within which a daemon notices that its state may be out of date."""

from __future__ import annotations

import math

import attrs

LONG_POLL_SHARE = 0.175
ANSWER_MARGIN_SHARE = 0.125
ROLE_CHECK_SHARE = 0.1
QUESTION_SHARE = 0.03
SLOW_QUESTION_SHARE = 0.3
STRICTEST_APPLY_MS = 2_000.0
MIN_APPLY_MS = 500.0
"""With less, answers that are on their way would count as missing."""


@attrs.frozen(kw_only=True)
class StateTimings:
    """Times of the exchange of states, as parts of what a change may take.

    A change has to be in force within half of that time. Three fifths of the
    half pass at most until a daemon notices that its source may be lost; the
    rest is for reading the store and for asking other daemons.

    Attributes:
        apply_ms: Longest time from the store's acceptance of a change until it
            is in force, in milliseconds.

    Raises:
        ValueError: `apply_ms` is less than `MIN_APPLY_MS`, or no number.
    """

    apply_ms: float = attrs.field(
        default=STRICTEST_APPLY_MS,
        validator=[
            attrs.validators.ge(MIN_APPLY_MS),
            attrs.validators.lt(math.inf),
        ],
    )

    @property
    def long_poll_ms(self) -> float:
        """Longest time that store or source hold a call open for a change."""
        return LONG_POLL_SHARE * self.apply_ms

    @property
    def answer_margin_ms(self) -> float:
        """Time beyond the wait after which an answer counts as missing."""
        return ANSWER_MARGIN_SHARE * self.apply_ms

    @property
    def transfer_ms(self) -> float:
        """Longest time in which the whole of an answer may come.

        The state in it is as old as its source says, and the time that the
        answer takes.
        """
        return self.apply_ms

    @property
    def stale_ms(self) -> float:
        """Age from which on a state may lack a change that is due."""
        return self.long_poll_ms + self.answer_margin_ms

    @property
    def role_check_ms(self) -> float:
        """How often a daemon that reads the store checks that it still does."""
        return ROLE_CHECK_SHARE * self.apply_ms

    @property
    def question_ms(self) -> float:
        """Time between the first rounds of questions to other daemons."""
        return QUESTION_SHARE * self.apply_ms

    @property
    def slow_question_ms(self) -> float:
        """Time between later rounds, when the store seems lost for all."""
        return SLOW_QUESTION_SHARE * self.apply_ms
