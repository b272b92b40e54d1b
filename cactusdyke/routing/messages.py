"""Messages exchanged with backend servers."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class StageCall:
    """Call of a backend server for one attempt at a stage.

    Attributes:
        request_id: The request that the attempt belongs to.
        stage: The stage's name.
        attempt: Number of the attempt, from 1.
        model: The model that the engine runs.
        input: The input of the stage.
        remaining_ms: Time left until the request's deadline.
        priority: Higher values are served first.
        stream: Whether the answer is streamed token by token.
        resume_from: The first token position to send.
        prefix: Identifies the prompt prefix, as a hint for caches.
        idempotency_key: Identifies a call that must not run twice, for
            services that detect repeated calls.
    """

    request_id: str
    stage: str
    attempt: int
    model: str
    input: Any
    remaining_ms: float
    priority: int = 0
    stream: bool = False
    resume_from: int = 0
    prefix: str = ""
    idempotency_key: str = ""


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load that a backend server reports for itself.

    Attributes:
        running: Requests running.
        waiting: Requests queued.
        age_ms: Age of the report when it was sent.
    """

    running: int
    waiting: int
    age_ms: float = 0.0


@attrs.frozen(kw_only=True)
class StageAnswer:
    """A complete, validated answer to one attempt."""

    output: Any
    busy_ms: float
    load: LoadReport | None = None


@attrs.frozen(kw_only=True)
class Token:
    """One generated token and its position in the answer."""

    position: int
    text: str


@attrs.frozen(kw_only=True)
class TokenBatch:
    """Tokens that arrived together, in order."""

    tokens: tuple[Token, ...]


@attrs.frozen(kw_only=True)
class StreamEnd:
    """The end event of a stream, with the number of its tokens."""

    tokens: int
    busy_ms: float
    load: LoadReport | None = None
