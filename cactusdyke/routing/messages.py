"""What goes to backend servers and what comes back."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen(kw_only=True)
class StageCall:
    """One attempt at one stage.

    Attributes:
        request_id: The request that the attempt belongs to.
        stage: The stage's name.
        attempt: Numbers the attempts of a stage, from 1.
        model: The model that an engine is asked for.
        input: What the stage works on.
        remaining_ms: Time left until the request's deadline.
        priority: Higher is served first.
        stream: Whether the answer comes token by token.
        resume_from: The first token position wanted.
        prefix: Names the prompt prefix, as a hint for caches.
        idempotency_key: Names a call that must not run twice, for services
            that can recognise it.
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
    """How busy a backend server said it was.

    Attributes:
        running: Requests that it was running.
        waiting: Requests that it had queued.
        age_ms: How old the report was when it was sent.
    """

    running: int
    waiting: int
    age_ms: float = 0.0


@attrs.frozen(kw_only=True)
class StageAnswer:
    """A whole, checked answer to one attempt."""

    output: Any
    busy_ms: float
    load: LoadReport | None = None


@attrs.frozen(kw_only=True)
class Token:
    """One generated token and its place in the answer."""

    position: int
    text: str


@attrs.frozen(kw_only=True)
class TokenBatch:
    """Tokens that arrived together, in order."""

    tokens: tuple[Token, ...]


@attrs.frozen(kw_only=True)
class StreamEnd:
    """The end mark of a stream."""

    tokens: int
    busy_ms: float
    load: LoadReport | None = None
