"""A caller's request, decoded, with an opaque payload, and its progress."""

from __future__ import annotations

import functools

import attrs
import xxhash

from cactusdyke.clock import Clock, Instant
from cactusdyke.errors import Ran
from cactusdyke.serving.model import Customer, RepeatPolicy, Route
from cactusdyke.serving.retry_budget import RetryPermit
from cactusdyke.serving.stream_origins import StreamOrigin
from cactusdyke.transport.memory_budget import Held

CONTENT_PREFIX = "content:"
"""Tells what callers ask for from their ids of attempts."""


@attrs.frozen(kw_only=True)
class PromptPart:
    """One part of a prompt, which other requests may share.

    Attributes:
        name: Identifies the part's content.
        tokens: Its length in tokens.
    """

    name: str
    tokens: int


@attrs.frozen(kw_only=True)
class Generation:
    """The text generation that a request wants from a model engine.

    Attributes:
        model: The model's name.
        prompt_tokens: Length of the prompt.
        output_tokens: Maximum number of tokens to generate.
        parts: The parts of the prompt in order; the last one is not shared
            with other requests.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]


@attrs.frozen(kw_only=True)
class ClientRequest:
    """One complete request of a caller.

    Attributes:
        request_id: The caller's id of this attempt; a repetition has another.
        method: The HTTP method.
        host: The host that the caller addressed.
        target: Path and query as sent.
        path: The path without the query.
        headers: The headers to forward, as (name, value).
        body: The payload, opaque.
        api_key: The caller's key, empty if none was sent.
        patience_ms: How long the caller waits, None if it did not state it.
        generation: The generation that it wants, None if it needs no engine.
        piece_counts: Number of pieces of each stage.
        piece_key: Identifies the content that stages without inputs process.
        resume_after: Number of the last event that the caller has received.
        resumes: The caller's id of the attempt that brought the first event of
            the stream that it resumes; empty if it names none.
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
    resumes: str = ""


@attrs.define(kw_only=True, eq=False)
class ServingContext:
    """The state of one request in progress.

    Attributes:
        request: The request.
        route: The route that it matched; a new configuration does not change
            it.
        service: The service that serves it.
        customer: The customer that its API key belongs to, None if it sent no
            known key.
        priority: Its effective priority; 0 goes first.
        deadline_at: Instant at which the request times out, also in the middle
            of a stream.
        start_deadline_at: Instant by which a stream must have begun; its caller
            abandons it then. The same as `deadline_at` once it has.
        caller_waits_until: Instant until which the caller waits.
        objective_at: Instant by which an answer has its full value; in the
            past for a caller that has retried for longer than that.
        waited_ms: Estimate of how long the caller had been waiting before this
            daemon received the request.
        ran: Whether it ran, as far as known from all finished attempts.
        current_replica: Name of the replica that the current attempt is sent
            to, empty between attempts. Whether the request runs there is
            unknown.
        sent_to: Names of the replicas that the request was sent to.
        failed_replicas: Names of those where it did not succeed.
        attempts: Number of attempts started.
        sends: Number of attempts that were written to a replica.
        retry: The retry that was last charged to the budget to be sent.
        next_retry: The retry that is reserved for the next attempt.
        refused_retry_of: The last attempt whose retry the budget refused, 0
            if it refused none.
        possible_runs: Number of attempts that ran or may have run.
        stages_ms: How long its stages took, over all attempts.
        stage_ms: How long each stage took, by its number; times of a stage
            that was run again add up.
        pending_stages: Numbers of the stages that are running.
        results_computed: Number of results computed for it, by stage.
        attempt_started_at: When its last attempt began.
        transferred_bytes: Estimate of the bytes that engines fetched for it
            from other data centres.
        origin: The software that began its stream, None before the first event.
        answer_began_at: When the first event of the current attempt came, None
            before it.
        replicas_said: What replicas said of themselves in answers to its
            attempts, by name, for log events.
        held_answer: Counts its whole answer while that is held, if it does.
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
    sends: int = 0
    retry: RetryPermit | None = None
    next_retry: RetryPermit | None = None
    refused_retry_of: int = 0
    possible_runs: int = 0
    stages_ms: float = 0.0
    stage_ms: dict[int, float] = attrs.field(factory=dict)
    pending_stages: set[int] = attrs.field(factory=set)
    results_computed: dict[int, int] = attrs.field(factory=dict)
    attempt_started_at: Instant = 0.0
    transferred_bytes: float = 0.0
    origin: StreamOrigin | None = None
    answer_began_at: Instant | None = None
    replicas_said: dict[str, dict[str, object]] = attrs.field(factory=dict)
    held_answer: Held | None = None

    @property
    def customer_name(self) -> str:
        """Name of its customer, empty if unknown."""
        return self.customer.name if self.customer else ""

    @property
    def stream_id(self) -> str:
        """The caller's id of the attempt that brought the first event.

        What the caller asks for if the request resumes a stream without naming
        it; empty if that does not identify the stream either.
        """
        if self.request.resume_after is None:
            return self.request.request_id
        return self.request.resumes or self.content_id

    @functools.cached_property
    def content_id(self) -> str:
        """Identifies what the caller asks for, over all its attempts.

        Empty if its prompt has no part: only the last part tells a request
        from an equal one of another caller.
        """
        generation = self.request.generation
        if generation is None or not generation.parts:
            return ""
        content = (self.digest, generation, self.request.piece_key)
        return CONTENT_PREFIX + xxhash.xxh3_128_hexdigest(
            repr(content).encode()
        )

    @property
    def stream_names(self) -> list[str]:
        """What its stream is known by; the first one is `stream_id`."""
        names = (self.stream_id, self.content_id)
        return [name for name in dict.fromkeys(names) if name]

    @functools.cached_property
    def digest(self) -> str:
        """Hash of the request and its customer, equal for each repetition."""
        request = self.request
        customer = self.customer.name if self.customer else ""
        hashed = xxhash.xxh3_128(request.body)
        for part in (request.method, request.host, request.target, customer):
            hashed.update(b"\0" + part.encode())
        return hashed.hexdigest()

    @property
    def shared_parts(self) -> list[str]:
        """Names of the parts of its prompt that other requests may have too.

        The last part belongs to the request itself.
        """
        generation = self.request.generation
        return [p.name for p in generation.parts[:-1]] if generation else []

    @property
    def may_be_repeated(self) -> bool:
        """Whether it may be sent again though it may have run."""
        return self.route.repeat_policy is not RepeatPolicy.AT_MOST_ONCE

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt ran or may have run, or may still run."""
        return bool(self.current_replica) or self.ran is not Ran.NOT_RUN

    @property
    def waiting_for(self) -> list[str]:
        """The replica of the current attempt, or its running stages' services.

        For log events; names, in the order of the stages.
        """
        if self.current_replica:
            return [self.current_replica]
        stages = self.route.stages
        return [
            stages[number].service for number in sorted(self.pending_stages)
        ]

    def remaining_ms(self, clock: Clock) -> float:
        """Returns how long the caller still waits; never negative."""
        return max(0.0, self.caller_waits_until - clock.now())

    def record_stage(self, number: int, took_ms: float, computed: int) -> None:
        """Records how long a stage took and how many results it computed."""
        self.pending_stages.discard(number)
        self.stage_ms[number] = self.stage_ms.get(number, 0.0) + took_ms
        self.results_computed[number] = (
            self.results_computed.get(number, 0) + computed
        )

    def record_outcome(self, ran: Ran) -> None:
        """Records whether an attempt ran; the worst case of all is kept.

        If an earlier attempt ran and the last one did not, reporting the last
        one alone would tell the caller a wrong "not run".
        """
        if self.ran is Ran.RAN or ran is Ran.NOT_RUN:
            return
        self.ran = ran
