"""Asks the decider of a stage service when a refused caller should return.

A daemon refuses requests itself, by the backlogs that deciders report to it.
It asks only before such a refusal, once, and refuses by the backlog if there is
no answer: the decider does not respond, is another one, or is of a release
without the path.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import attrs
import orjson
from result import Err

from cactusdyke.clock import MS_PER_SECOND
from cactusdyke.errors import DECODING_ERRORS
from cactusdyke.serving.dispatch_messages import decode_digest
from cactusdyke.transport.messages import JSON_TYPE, Request, parse_object
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.serving.decider import Decider
    from cactusdyke.serving.decider_directory import DeciderDirectory
    from cactusdyke.serving.peer_watch import PeerWatch
    from cactusdyke.serving.peers import PeerDaemon
    from cactusdyke.transport.network import Network

RETURN_PATH = "/internal/v1/return-time"
ANSWER_TIMEOUT_MS = 150.0
"""As for placements; the refused caller waits for it."""
MAX_PER_SECOND = 10
"""Questions of one daemon. A burst that it refuses must not become a burst of
messages: 348 daemons send at most 3,480 a second to all deciders, and a daemon
gets some three requests a second at the target."""
MAX_PIECES = 10_000


@attrs.frozen(kw_only=True)
class ReturnQuestion:
    """A request that a daemon is about to refuse.

    Attributes:
        service: The stage service with the longest backlog.
        digest: Equal for each retry of the request.
        pieces: Number of its pieces at that service.
        priority: Its priority; 0 is the highest.
        caller_left_ms: How long its caller still waits.
    """

    service: str
    digest: str
    pieces: int
    priority: int
    caller_left_ms: float


@attrs.frozen(kw_only=True)
class ReturnAnswer:
    """When the request should return.

    Attributes:
        due: Whether it has a reservation that is valid now, so that it must
            not be refused.
        in_ms: Time until it should return.
        reserved: Whether it has a place then.
    """

    due: bool
    in_ms: float
    reserved: bool


class ReturnQuestions:
    """Sends questions to deciders; answers directly if this is the decider."""

    def __init__(
        self,
        *,
        clock: Clock,
        network: Network,
        deciders: DeciderDirectory,
        watch: PeerWatch,
        decider: Decider,
    ) -> None:
        self._clock = clock
        self._network = network
        self._deciders = deciders
        self._watch = watch
        self._decider = decider
        self._second_began_at: Instant = -math.inf
        self._asked = 0

    async def ask(self, question: ReturnQuestion) -> ReturnAnswer | None:
        """Returns the decider's answer, None if there is none in time."""
        peer = self._deciders.decider_of(question.service)
        if peer.is_local:
            return self._decider.return_time(question)
        if not self._may_ask():
            return None
        with self._clock.timeout(ANSWER_TIMEOUT_MS):
            return await self._ask_at(peer, question)
        return None

    def _may_ask(self) -> bool:
        now = self._clock.now()
        if now - self._second_began_at >= MS_PER_SECOND:
            self._second_began_at = now
            self._asked = 0
        self._asked += 1
        return self._asked <= MAX_PER_SECOND

    async def _ask_at(
        self, peer: PeerDaemon, question: ReturnQuestion
    ) -> ReturnAnswer | None:
        request = Request(
            method="POST",
            path=RETURN_PATH,
            headers={"content-type": JSON_TYPE},
            body=orjson.dumps(attrs.asdict(question)),
        )
        options = CallOptions(
            connect_timeout_ms=ANSWER_TIMEOUT_MS,
            progress_timeout_ms=ANSWER_TIMEOUT_MS,
        )
        got = await self._network.fetch(peer.address, request, options)
        if isinstance(got, Err):
            return None
        self._watch.record_answer(peer.address)
        response = got.ok_value
        if response.status != 200 or not isinstance(response.body, bytes):
            return None
        body = parse_object(response.body)
        if isinstance(body, Err):
            return None
        try:
            if "moved" in body.ok_value:
                self._deciders.apply_redirect(
                    question.service, body.ok_value["moved"]
                )
                return None
            return decode_answer(body.ok_value)
        except DECODING_ERRORS:
            return None


def decode_question(body: dict[str, Any]) -> ReturnQuestion:
    """Decodes a question.

    Raises:
        KeyError, TypeError, ValueError: The message is malformed.
    """
    pieces = int(body["pieces"])
    left_ms = float(body["caller_left_ms"])
    if not 0 < pieces <= MAX_PIECES or not math.isfinite(left_ms):
        raise ValueError("a figure is out of its range")
    return ReturnQuestion(
        service=str(body["service"]),
        digest=decode_digest(body),
        pieces=pieces,
        priority=int(body["priority"]),
        caller_left_ms=left_ms,
    )


def encode_answer(answer: ReturnAnswer | None) -> dict[str, Any]:
    """Encodes an answer; None if the decider knows nothing of the service."""
    return attrs.asdict(answer) if answer else {}


def decode_answer(body: dict[str, Any]) -> ReturnAnswer | None:
    """Decodes an answer.

    Raises:
        KeyError, TypeError, ValueError: The message is malformed.
    """
    if not body:
        return None
    in_ms = float(body["in_ms"])
    if not math.isfinite(in_ms) or in_ms < 0:
        raise ValueError("the time is malformed")
    return ReturnAnswer(
        due=bool(body["due"]), in_ms=in_ms, reserved=bool(body["reserved"])
    )
