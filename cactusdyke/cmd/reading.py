"""cactusdyke addresses, status, cost and trace: what a deployment says."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from result import Err

from cactusdyke.cmd import connection, fleet_status, output
from cactusdyke.cmd.action import Action, asynchronous

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from cactusdyke.client import Client

STATUS_COLUMNS = (
    "name",
    "state",
    "revision",
    "answered",
    "data_centre",
    "address",
)
_NS_PER_MS = 1e6


def addresses(
    *, entry: str = "", token_file: str = "", json: bool = False
) -> Action:
    """Shows which addresses callers are told to use now.

    Args:
        entry: Addresses HOST:PORT, separated by commas.
        token_file: A file with a customer's token, if the answer is to be
            that customer's own.
        json: Print JSON.
    """

    async def work() -> None:
        async with connection.connect(entry, token_file) as client:
            value = output.unwrap(await client.get("/v1/addresses"))
            if json:
                output.show_json(value)
            else:
                output.show_table(value["addresses"])
                print(f"valid for {value['lifetime_ms']} ms")

    return asynchronous(work)


def status(
    *, entry: str = "", token_file: str = "", json: bool = False
) -> Action:
    """Shows each daemon, its state and the revision in force there.

    Args:
        entry: Addresses HOST:PORT, separated by commas.
        token_file: A file with the operator's token.
        json: Print JSON.
    """

    async def work() -> None:
        async with connection.connect(entry, token_file) as client:
            daemons = await fleet_status.read(client)
        if json:
            output.show_json({"daemons": daemons})
            return
        output.show_table(
            [{name: d.get(name) for name in STATUS_COLUMNS} for d in daemons]
        )

    return asynchronous(work)


def history(
    *,
    limit: int = 20,
    entry: str = "",
    token_file: str = "",
    json: bool = False,
) -> Action:
    """Shows the revisions accepted last, the newest first.

    Args:
        limit: How many to show.
        entry: Addresses HOST:PORT, separated by commas.
        token_file: A file with the operator's token.
        json: Print JSON.
    """

    async def work() -> None:
        async with connection.connect(entry, token_file) as client:
            value = output.unwrap(
                await client.get("/v1/history", limit=str(limit))
            )
        if json:
            output.show_json(value)
            return
        output.show_table(
            [
                {**row, "changed": ", ".join(row["changed"])}
                for row in value["revisions"]
            ]
        )

    return asynchronous(work)


def cost(
    *, entry: str = "", token_file: str = "", json: bool = False
) -> Action:
    """Shows cost by stage, added up over the daemons that answer.

    Args:
        entry: Addresses HOST:PORT, separated by commas.
        token_file: A file with the operator's token.
        json: Print JSON.
    """

    async def work() -> None:
        async with connection.connect(entry, token_file) as client:
            answers, silent = await _ask_all(client, "/v1/cost")
        rows = _add_up([row for a in answers for row in a["stages"]])
        if json:
            output.show_json({"stages": rows, "not_answered": silent})
            return
        output.show_table(rows)
        for address in silent:
            print(f"not counted, as it did not answer: {address}")

    return asynchronous(work)


def trace(
    trace_id: str, *, entry: str = "", token_file: str = "", json: bool = False
) -> Action:
    """Shows the spans of one request, a line a hop.

    Args:
        trace_id: The trace id that an answer carried.
        entry: Addresses HOST:PORT, separated by commas.
        token_file: A file with the operator's token.
        json: Print JSON.
    """

    async def work() -> None:
        async with connection.connect(entry, token_file) as client:
            answers, _ = await _ask_all(client, f"/v1/traces/{trace_id}")
        spans = [span for answer in answers for span in answer["spans"]]
        spans.sort(key=lambda span: int(span["start_ns"]))
        if json:
            output.show_json({"spans": spans})
            return
        _print_spans(spans)

    return asynchronous(work)


async def _ask_all(
    client: Client, path: str
) -> tuple[list[dict[str, Any]], list[str]]:
    """Asks every daemon; ends if none answers or the first refuses."""
    answers: list[dict[str, Any]] = []
    silent: list[str] = []
    failure = None
    for address in await client.addresses():
        client.pin(address)
        answer = await client.get(path)
        if isinstance(answer, Err):
            silent.append(address)
            failure = answer.err_value
        else:
            answers.append(answer.ok_value)
    if failure is not None and not answers:
        output.fail(failure)
    return answers, silent


def _add_up(rows: Sequence[Mapping[str, Any]]) -> list[dict[str, Any]]:
    sums: dict[tuple[str, str], dict[str, Any]] = {}
    for row in rows:
        key = (row["pipeline"], row["stage"])
        known = sums.get(key)
        if known is None:
            sums[key] = dict(row)
            continue
        for name, value in row.items():
            if isinstance(value, (int, float)):
                known[name] += value
    return [sums[key] for key in sorted(sums)]


def _print_spans(spans: Sequence[Mapping[str, Any]]) -> None:
    if not spans:
        print("no daemon keeps spans of this trace any more")
        return
    depths: dict[str, int] = {}
    began = int(spans[0]["start_ns"])
    for span in spans:
        depth = depths.get(span["parent_id"], -1) + 1
        depths[span["span_id"]] = depth
        after = (int(span["start_ns"]) - began) / _NS_PER_MS
        server = span["attributes"].get("backend_server", "")
        print(
            f"{after:9.1f} ms {span['duration_ms']:9.1f} ms"
            f"  {'  ' * depth}{span['name']} {server}".rstrip()
        )
