"""What is asked of engines and what they answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import orjson
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.transport.messages import (
    JSON_TYPE,
    Request,
    Response,
    parse_object,
)
from cactusdyke.transport.network import CallOptions

if TYPE_CHECKING:
    from collections.abc import Callable

    from cactusdyke.transport.network import Network

STATE_PATH = "/v1/state"
ORDERS_PATH = "/v1/orders"
TIMEOUT_MS = 1_000.0


@attrs.frozen(kw_only=True)
class Desired:
    """What an engine is to become; giving it twice changes nothing.

    Attributes:
        models: Models that it is to have loaded, and no others.
        role: What it is to do.
    """

    models: tuple[str, ...]
    role: str = "serve"


@attrs.frozen(kw_only=True)
class EngineState:
    """What an engine says of itself.

    Attributes:
        desired: What it has become, or becomes.
        loading: Whether it is still on the way there.
        in_flight: Requests running and waiting.
    """

    desired: Desired
    loading: bool
    in_flight: int


class EngineClient:
    """Reads engines' states and sends them orders."""

    def __init__(self, *, network: Network) -> None:
        self._network = network

    async def state(self, address: str) -> Result[EngineState, Failure]:
        """Reads an engine's state."""
        answer = await self._network.fetch(
            address,
            Request(method="GET", path=STATE_PATH),
            CallOptions(
                connect_timeout_ms=TIMEOUT_MS, progress_timeout_ms=TIMEOUT_MS
            ),
        )
        value = _body(address, answer)
        if isinstance(value, Err):
            return value
        state = value.ok_value
        return Ok(
            EngineState(
                desired=Desired(
                    models=tuple(state["models"]), role=state["role"]
                ),
                loading=bool(state["loading"]),
                in_flight=int(state["in_flight"]),
            )
        )

    async def order(
        self,
        address: str,
        desired: Desired,
        *,
        fencing_number: int,
        may_send: Callable[[], bool],
    ) -> Result[None, Failure]:
        """Sends an order, if `may_send` still says so at the first byte."""
        request = Request(
            method="POST",
            path=ORDERS_PATH,
            headers={"content-type": JSON_TYPE},
            body=orjson.dumps(
                {
                    "fencing_number": fencing_number,
                    "desired": attrs.asdict(desired),
                }
            ),
        )
        options = CallOptions(
            connect_timeout_ms=TIMEOUT_MS,
            progress_timeout_ms=TIMEOUT_MS,
            may_send=may_send,
        )
        answer = await self._network.fetch(address, request, options)
        value = _body(address, answer)
        return value if isinstance(value, Err) else Ok(None)


def _body(
    address: str, answer: Result[Response, Failure]
) -> Result[dict[str, Any], Failure]:
    if isinstance(answer, Err):
        return answer
    response = answer.ok_value
    if response.status != 200 or not isinstance(response.body, bytes):
        return Err(
            Failure(
                kind=FailureKind.BACKEND_FAILED,
                detail=f"The engine at {address} answered {response.status}",
            )
        )
    return parse_object(response.body)
