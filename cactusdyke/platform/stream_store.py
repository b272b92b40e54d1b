"""Keeps the origins of streams in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from cactusdyke.serving.untold_origins import EncodedOrigin, OriginStore

if TYPE_CHECKING:
    from cactusdyke.errors import Failure
    from cactusdyke.platform.store import StoreClient

KIND = "cactusdyke-streams"


class PlatformOriginStore(OriginStore):
    """Keeps one object for each daemon that could tell no other daemon."""

    def __init__(self, *, store: StoreClient, daemon: str) -> None:
        self._store = store
        self._daemon = daemon

    async def save_origins(
        self, begun: list[EncodedOrigin]
    ) -> Result[None, Failure]:
        """Replaces this daemon's object."""
        return await self._store.put(KIND, self._daemon, {"begun": begun})

    async def read_origins(self) -> Result[list[EncodedOrigin], Failure]:
        """Returns the origins in all objects; unreadable ones are left out."""
        answer = await self._store.list(KIND)
        if isinstance(answer, Err):
            return answer
        return Ok(
            [
                origin
                for entry in answer.ok_value.objects
                for origin in _begun(entry.spec)
                if _is_origin(origin)
            ]
        )


def _begun(spec: Any) -> list[Any]:
    begun = spec.get("begun") if isinstance(spec, dict) else None
    return begun if isinstance(begun, list) else []


def _is_origin(value: object) -> bool:
    return (
        isinstance(value, list)
        and len(value) == len(("id", "service", "version"))
        and all(isinstance(part, str) for part in value)
    )
