"""Sends a steady, bounded load to the measured daemon."""

from __future__ import annotations

import anyio
import attrs

from bench.capacity import probe
from cactusdyke.client import Client
from standins.fleet import CUSTOMER_TOKEN

PIPELINE = "pipeline-0"
DEADLINE_MS = 60_000.0


@attrs.define(kw_only=True)
class Outcome:
    """What a load got.

    Attributes:
        answered: Whole answers.
        failed: Everything else.
        tokens: Tokens that arrived.
    """

    answered: int = 0
    failed: int = 0
    tokens: int = 0


async def requests(
    address: str, *, per_second: float, settle_s: float, seconds: float
) -> tuple[probe.Sample, Outcome]:
    """Sends whole requests at a steady rate and measures in the middle."""
    outcome = Outcome()
    async with (
        Client(seeds=[address], token=CUSTOMER_TOKEN) as client,
        anyio.create_task_group() as tasks,
    ):
        client.pin(address)

        async def one(number: int) -> None:
            answer = await client.call(
                f"/v1/pipelines/{PIPELINE}",
                {"n": number},
                deadline_ms=DEADLINE_MS,
            )
            if answer.is_ok():
                outcome.answered += 1
            else:
                outcome.failed += 1

        async def steadily() -> None:
            count = int(per_second * (settle_s + seconds))
            began = anyio.current_time()
            for number in range(count):
                due = began + number / per_second
                await anyio.sleep(max(0.0, due - anyio.current_time()))
                tasks.start_soon(one, number)

        tasks.start_soon(steadily)
        rates = await _measure(address, settle_s, seconds)
    return rates, outcome


async def streams(
    address: str, *, count: int, settle_s: float, seconds: float
) -> tuple[probe.Sample, Outcome]:
    """Keeps a number of streams open and measures in the middle."""
    outcome = Outcome()
    async with (
        Client(seeds=[address], token=CUSTOMER_TOKEN) as client,
        anyio.create_task_group() as tasks,
    ):
        client.pin(address)

        async def keep(number: int) -> None:
            while True:
                async for event in client.stream(
                    PIPELINE, {"n": number}, deadline_ms=DEADLINE_MS
                ):
                    if event.name == "token":
                        outcome.tokens += 1
                    elif event.name == "end":
                        outcome.answered += 1
                    else:
                        outcome.failed += 1

        for number in range(count):
            tasks.start_soon(keep, number)
        before = outcome.tokens
        await anyio.sleep(settle_s)
        settled = outcome.tokens
        rates = await _measure(address, 0.0, seconds)
        rates["tokens"] = (outcome.tokens - settled) / rates["seconds"]
        assert outcome.tokens > before
        tasks.cancel_scope.cancel()
    return rates, outcome


async def _measure(
    address: str, settle_s: float, seconds: float
) -> probe.Sample:
    await anyio.sleep(settle_s)
    before = await anyio.to_thread.run_sync(probe.scrape, address)
    await anyio.sleep(seconds)
    after = await anyio.to_thread.run_sync(probe.scrape, address)
    return probe.rates(before, after)
