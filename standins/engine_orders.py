"""How the stand-in of an engine takes orders to load models."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cactusdyke.transport.messages import Request, Response, json_response

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cactusdyke.clock import Clock


class EngineOrders:
    """Applies desired states; refuses old numbers only if it checks them.

    `applied` lists the fencing number and the models of every order that
    changed something, `cut` counts requests that were in flight then.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        models: Sequence[str],
        checks_fencing: bool,
        load_ms: float,
        in_flight: Callable[[], int],
    ) -> None:
        self.checks_fencing = checks_fencing
        self.applied: list[tuple[int, tuple[str, ...]]] = []
        self.highest = 0
        self.cut = 0
        self.desired: dict[str, Any] = {
            "models": list(models),
            "role": "serve",
        }
        self._clock = clock
        self._load_ms = load_ms
        self._in_flight = in_flight
        self._loaded_at = 0.0

    async def state(self, request: Request) -> Response:
        """Says what the engine has become, or becomes."""
        del request
        return json_response(
            {
                **self.desired,
                "loading": self._clock.now() < self._loaded_at,
                "in_flight": self._in_flight(),
                "fencing_number": self.highest,
            }
        )

    async def take(self, request: Request) -> Response:
        """Takes an order."""
        order = request.json().unwrap()
        number = order["fencing_number"]
        if self.checks_fencing and number < self.highest:
            return json_response({"error": "old fencing number"}, status=409)
        self.highest = max(self.highest, number)
        if order["desired"] != self.desired:
            self.cut += self._in_flight()
            self.desired = order["desired"]
            self.applied.append((number, tuple(self.desired["models"])))
            self._loaded_at = self._clock.now() + self._load_ms
        return json_response({"accepted": True})
