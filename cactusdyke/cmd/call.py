"""cactusdyke call: sends one request as a caller does."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from cactusdyke.client import DEFAULT_DEADLINE_MS
from cactusdyke.cmd import connection, output
from cactusdyke.cmd.action import Action, asynchronous
from cactusdyke.errors import CactusdykeError

if TYPE_CHECKING:
    from cactusdyke.client import Client


def call(
    name: str,
    input: Any,  # noqa: A002
    *,
    service: bool = False,
    stream: bool = False,
    key: str = "",
    deadline_ms: float = DEFAULT_DEADLINE_MS,
    entry: str = "",
    token_file: str = "",
    json: bool = False,
) -> Action:
    """Sends one request to a pipeline or a plain service.

    Args:
        name: The pipeline's or the service's name.
        input: What it works on, in JSON.
        service: Whether NAME is a plain service.
        stream: Whether to print the answer token by token.
        key: Idempotency key; the same for the same request.
        deadline_ms: How long to wait, in milliseconds.
        entry: Addresses HOST:PORT, separated by commas.
        token_file: A file with the customer's token.
        json: Print the whole answer as JSON.
    """
    kind = "services" if service else "pipelines"

    async def work() -> None:
        async with connection.connect(entry, token_file) as client:
            if stream:
                await _print_stream(client, name, input, deadline_ms)
                return
            answer = await client.call(
                f"/v1/{kind}/{name}",
                input,
                deadline_ms=deadline_ms,
                idempotency_key=str(key) if key != "" else None,
            )
            value = output.unwrap(answer)
            output.show_json(value if json else value["output"])

    return asynchronous(work)


async def _print_stream(
    client: Client, pipeline: str, value: Any, deadline_ms: float
) -> None:
    try:
        async for event in client.stream(
            pipeline, value, deadline_ms=deadline_ms
        ):
            if event.name == "token":
                print(event.data["text"], end="", flush=True)
            elif event.name == "end":
                print()
                trace = event.data["trace_id"]
                print(
                    f"{event.data['tokens']} tokens, trace {trace}",
                    file=sys.stderr,
                )
    except CactusdykeError as error:
        print()
        output.fail(error.failure)
