"""Asks each daemon about itself, rather than one about all."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err

from cactusdyke.cmd import output

if TYPE_CHECKING:
    from cactusdyke.client import Client


async def read(client: Client) -> list[dict[str, Any]]:
    """Returns an entry for each daemon, by name.

    What one daemon knows of another is late by the time that news takes, so
    that two daemons asked in turn may contradict each other. Each one's own
    entry is exact; `answered` says where it could not be had.
    """
    first = output.unwrap(await client.get("/v1/status"))
    entries = []
    for known in sorted(first["daemons"], key=lambda entry: entry["name"]):
        client.pin(known["address"])
        answer = await client.get("/v1/status")
        if isinstance(answer, Err):
            entries.append({**known, "answered": False})
            continue
        own = _own(answer.ok_value)
        entries.append({**own, "answered": True})
    client.unpin()
    return entries


def _own(status: dict[str, Any]) -> dict[str, Any]:
    name = status["daemon"]
    found: dict[str, Any] = next(
        entry for entry in status["daemons"] if entry["name"] == name
    )
    return {**found, "revision": status["revision"]}
