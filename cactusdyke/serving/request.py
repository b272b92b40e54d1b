"""A caller's request as the core knows it: typed, with an opaque payload."""

from __future__ import annotations

import functools

import attrs
import xxhash

from cactusdyke.clock import Clock, Instant
from cactusdyke.errors import Ran
from cactusdyke.serving.model import Customer, Route


@attrs.frozen(kw_only=True)
class PromptPart:
    """One part of a prompt, which other requests may share.

    Attributes:
        name: Names the part's content.
        tokens: Its length.
    """

    name: str
    tokens: int


@attrs.frozen(kw_only=True)
class Generation:
    """What a request asks of a model engine.

    Attributes:
        model: The model's name.
        prompt_tokens: Tokens to read.
        output_tokens: Most tokens to generate.
        parts: The parts of the prompt in order; the last is its own.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]


@attrs.frozen(kw_only=True)
class ClientRequest:
    """One request, read whole.

    Attributes:
        request_id: The caller's id of this attempt, unique to it.
        method: The HTTP method.
        host: The host that the caller named.
        target: Path and query as sent.
        path: The path without the query.
        headers: What is passed on, as (name, value).
        body: The payload, opaque.
        api_key: The caller's key, empty if none was sent.
        patience_ms: How long the caller said that it waits, if it did.
        generation: What it asks of a model engine, if it does.
        piece_counts: Pieces of each stage.
        piece_key: Names the content that the first stages work on.
        resume_after: Number of the last event that the caller has.
        arrived_at: Instant at which the head was read.
    """

    request_id: str
    method: str
    host: str
    target: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    api_key: str
    patience_ms: float | None
    generation: Generation | None
    piece_counts: tuple[int, ...]
    piece_key: str
    resume_after: int | None
    arrived_at: Instant


@attrs.define(kw_only=True, eq=False)
class ServingContext:
    """One request under way.

    Attributes:
        request: The request.
        route: The route that it matched, for its whole life.
        service: The service that it goes to.
        customer: Whose key it carried, if keys are asked for.
        priority: Its rank, 0 first.
        ends_at: Instant at which the caller gets its last answer.
        first_by: Instant by which a stream must have begun; its caller gives
            it up then.
        caller_until: Instant until which the caller waits.
        objective_at: Instant by which an answer has its full value; past for
            a caller that has been trying for longer.
        waited_ms: About how long the caller had been trying before.
        ran: What is true of all attempts that have ended.
        asking: Name of the replica that an attempt is under way at, empty
            between attempts; what it does is unknown.
        sent_to: Names of the replicas that were sent the request.
        failed_at: Names of those where it did not succeed.
        attempts: Attempts made.
        runs: Attempts that ran or may have run.
        stages_ms: How long its stages took, over all attempts.
        stage_ms: How long each stage took, by its number; a stage that was
            made again counts with both.
        pending_stages: Numbers of the stages that are being made.
        results_made: Results that were made for it, by stage.
        engine_asked_at: When its last attempt began.
        crossed_bytes: About what engines fetched for it from other data
            centres.
    """

    request: ClientRequest
    route: Route
    service: str
    customer: Customer | None
    priority: int
    deadline_at: Instant
    start_deadline_at: Instant
    caller_waits_until: Instant
    objective_at: Instant
    waited_ms: float = 0.0
    ran: Ran = Ran.NOT_RUN
    current_replica: str = ""
    sent_to: list[str] = attrs.field(factory=list)
    failed_replicas: list[str] = attrs.field(factory=list)
    attempts: int = 0
    possible_runs: int = 0
    stages_ms: float = 0.0
    stage_ms: dict[int, float] = attrs.field(factory=dict)
    pending_stages: set[int] = attrs.field(factory=set)
    results_computed: dict[int, int] = attrs.field(factory=dict)
    attempt_started_at: Instant = 0.0
    transferred_bytes: float = 0.0

    @functools.cached_property
    def digest(self) -> str:
        """Names what is asked, and by whom, the same for each repetition."""
        request = self.request
        customer = self.customer.name if self.customer else ""
        hashed = xxhash.xxh3_128(request.body)
        for part in (request.method, request.host, request.target, customer):
            hashed.update(b"\0" + part.encode())
        return hashed.hexdigest()

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt ran or may have run, or may run yet."""
        return bool(self.current_replica) or self.ran is not Ran.NOT_RUN

    @property
    def waiting_for(self) -> list[str]:
        """The replica that is asked, or the services that make its stages."""
        if self.current_replica:
            return [self.current_replica]
        stages = self.route.stages
        return [
            stages[number].service for number in sorted(self.pending_stages)
        ]

    def remaining_ms(self, clock: Clock) -> float:
        """Returns how long the caller still waits, never negative."""
        return max(0.0, self.caller_waits_until - clock.now())

    def record_stage(self, number: int, took_ms: float, made: int) -> None:
        """Notes how long a stage took and how many results it brought."""
        self.pending_stages.discard(number)
        self.stage_ms[number] = self.stage_ms.get(number, 0.0) + took_ms
        self.results_computed[number] = (
            self.results_computed.get(number, 0) + made
        )

    def record_outcome(self, ran: Ran) -> None:
        """Notes how one attempt ended; the worst of all stays.

        The last attempt may not have run while an earlier one did. Its own
        word would be a false "not run" to the caller.
        """
        if self.ran is Ran.RAN or ran is Ran.NOT_RUN:
            return
        self.ran = ran
