"""Generated data that can't be read, and what reads it, by its source."""

from __future__ import annotations

import base64
import contextlib
import copy
import json
import os
import random
import zlib
from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType, SimpleNamespace
from typing import Any

import anyio
import attrs
import orjson
import prometheus_client
from hypothesis import strategies as st
from result import Err, Ok

from cactusdyke.clock import EventLoopClock, SystemClock
from cactusdyke.infrastructure.host_list import HostList
from cactusdyke.infrastructure.watched_store import (
    Changes,
    Listing,
    WatchedStore,
)
from cactusdyke.membership.control_client import ControlClient, ControlTraffic
from cactusdyke.membership.members import Members
from cactusdyke.observe.log_sink import LogSink
from cactusdyke.platform import decode
from cactusdyke.platform.follow import ConfigurationState, ReplicaState
from cactusdyke.platform.registry import DaemonRegistry
from cactusdyke.platform.store import StoreClient
from cactusdyke.platform.wire import PlatformDialect
from cactusdyke.serving.crash_suspects import CrashSuspects
from cactusdyke.serving.deployment import Deployment
from cactusdyke.serving.dialect import EventStreamError, Piece
from cactusdyke.serving.member_view import MemberView
from cactusdyke.serving.metrics import ServingMetrics
from cactusdyke.serving.routes import choose_service
from cactusdyke.serving.state_exchange import StateExchange
from cactusdyke.serving.state_timings import StateTimings
from cactusdyke.settings import Settings
from cactusdyke.transport.answer_parser import AnswerHead, encode_request
from cactusdyke.transport.messages import (
    Request,
    json_response,
    parse_object,
)
from cactusdyke.transport.network import MAX_BODY_BYTES, Incoming, Network
from cactusdyke.transport.network_address import NetworkAddress
from cactusdyke.util.json_nesting import MAX_ENTRY_NESTING, is_nested_deeper
from features.support.platform_rig import (
    KEY,
    configuration,
    replica_entry,
    route,
)
from features.support.serving_values import serving_context
from features.support.state_fleet import FixedDaemons, peer

TEXTS = (
    "",
    "\ufffd\ufffd:8080",
    "10.0.0.1:\u0668\u0660",
    "10.0.0.1:99999",
    "10.0.0.1:0",
    "[::1:80",
    "a..b:80",
    "a b:80",
    "host\r\nx: y:80",
    "x" * 300 + ":80",
    "\u00e9\u00e9\u00e9:80",
    "\x00",
    "ready",
    "9" * 5_000,
)
NUMBERS = (-1, 0, 1, 7, 2**31, 2**53, 2**63 - 1, 1e30, -0.5, 0.5, 1e300)
_LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(NUMBERS),
    st.sampled_from(TEXTS),
    st.text(st.characters(exclude_categories=["Cs"]), max_size=8),
)
HOSTILE = st.recursive(
    _LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.sampled_from(["a", "d", "name"]), inner, max_size=2),
    ),
    max_leaves=4,
)
GONE = object()


def _paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Returns the path of each value within a value."""
    found = [path]
    if isinstance(value, dict):
        inner = list(value.items())
    else:
        inner = list(enumerate(value)) if isinstance(value, list) else []
    for key, each in inner:
        found += _paths(each, (*path, key))
    return found


def _replace(value: Any, path: tuple[Any, ...], other: Any) -> Any:
    if not path:
        return None if other is GONE else other
    changed = copy.copy(value)
    if other is GONE and len(path) == 1:
        del changed[path[0]]
    else:
        changed[path[0]] = _replace(value[path[0]], path[1:], other)
    return changed


@st.composite
def mutated(draw: Any, sound: Any) -> Any:
    """Draws a sound value of which one to three parts are replaced or gone."""
    value = sound
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(_paths(value)))
        value = _replace(value, path, draw(st.one_of(HOSTILE, st.just(GONE))))
    return value


class _WholeAnswer(Incoming):
    """An answer with status 200 whose body is there."""

    status = 200
    headers: Mapping[str, str] = MappingProxyType({})

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def chunks(self) -> Any:
        yield self._body


class _FixedNetwork(Network):
    """Answers every call with the same bytes."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    @contextlib.asynccontextmanager
    async def open(self, address: str, request: Any, options: Any) -> Any:
        yield Ok(_WholeAnswer(self._body))


class _NoStore(WatchedStore):
    async def list(self, kind: str) -> Any:
        return Ok(Listing(objects=(), revision=1))

    async def watch(self, kind: str, *, revision: int, wait_ms: float) -> Any:
        return Ok(Changes(changes=(), revision=revision))


@attrs.frozen(kw_only=True)
class Source:
    """Where data comes from.

    Attributes:
        values: Draws what may come.
        check: Reads a value with everything that reads it in a daemon.
        examples: Values that are read in any case.
    """

    values: st.SearchStrategy[Any]
    check: Callable[[Any], None]
    examples: tuple[Any, ...] = ()


SETTINGS = Settings(
    name="d1",
    host="10.0.0.1",
    port=1,
    data_centre="here",
    region="r",
    object_service="10.0.0.2:1",
    host_list="10.0.0.2:1",
)
REPLICA = replica_entry("10.0.0.1:80", born=1_700_000_000_000)
CONFIGURATION = configuration(
    [
        route(
            "look", "plain", traffic_split=[{"service": "plain", "weight": 1}]
        ),
        route(
            "draft",
            "engine",
            kind="streaming",
            resumable=True,
            stages=[
                {"service": "stage", "bytes": 100},
                {"service": "stage", "after": [0], "bytes": 100},
            ],
        ),
    ]
)


def _states() -> tuple[Deployment, ReplicaState, ConfigurationState]:
    clock = SystemClock()
    deployment = Deployment(clock=clock)
    values = {"store": _NoStore(), "clock": clock, "deployment": deployment}
    return deployment, ReplicaState(**values), ConfigurationState(**values)


def _merge(state: Any, revision: int, **told: Any) -> None:
    state.merge(
        {"revision": revision, "age_ms": 0, **told}, source="d2", transit_ms=0
    )


def _use(deployment: Deployment) -> None:
    """Does with a deployment what requests, reports and logs do with it."""
    dialect = PlatformDialect()
    registry = prometheus_client.CollectorRegistry()
    ServingMetrics(registry).watch_deployment(deployment)
    prometheus_client.generate_latest(registry)
    sink = LogSink(
        clock=SystemClock(), daemon="d1", descriptor=os.open(os.devnull, 1)
    )
    known = deployment.configuration
    for each in known.routes if known else ():
        deployment.routes.find(each.host, f"{each.path_prefix}x")
        choose_service(each, random.Random(1))
        customer = deployment.customer_for_key(KEY)
        deployment.effective_priority(each, customer)
        context = serving_context(each)
        for replica in deployment.usable_replicas("plain"):
            call = dialect.encode_attempt(
                context,
                replica,
                remaining_ms=each.timeout_ms,
                handles=(),
                resume_after=None,
            )
            encode_request(call.method, call.target, call.headers, call.body)
    for replica in deployment.usable_replicas("plain"):
        piece = Piece(request_id="r", stage=0, number=0, key="k", inputs=())
        for call in (
            dialect.encode_pieces(replica, [(piece, 1.0)]),
            dialect.encode_free(replica.address, ["a/b"]),
            dialect.encode_memory_query(replica),
        ):
            encode_request(call.method, call.target, call.headers, call.body)
        NetworkAddress.parse(replica.address).host.encode("idna")
        sink({"message_type": "event", **attrs.asdict(replica)})


def _check_replica(entry: Any) -> None:
    deployment, replicas, configurations = _states()
    _merge(configurations, 1, objects=[["main", 1, CONFIGURATION]])
    sound = ["good", 1, {**REPLICA, "address": "10.0.0.9:80"}]
    name, spec = entry
    _merge(replicas, 2, objects=[sound, [name, 2, spec]])
    _merge(replicas, 3, changes=[[name, 3, spec, False]])
    _use(deployment)
    orjson.dumps(
        [state.encode_since(0) for state in (replicas, configurations)]
    )
    assert "good" in {r.name for r in deployment.usable_replicas("plain")}


def _check_configuration(spec: Any) -> None:
    deployment, replicas, configurations = _states()
    _merge(replicas, 1, objects=[["good", 1, REPLICA]])
    _merge(configurations, 2, objects=[["main", 1, CONFIGURATION]])
    before = deployment.configuration
    _merge(configurations, 3, changes=[["main", 2, spec, False]])
    _use(deployment)
    decoded = decode.configuration(spec)
    if isinstance(decoded, Err) or decoded.ok_value.version <= 1:
        assert deployment.configuration is before


class _Evidence:
    """Reads evidence as the quarantine does."""

    def __init__(self) -> None:
        self._suspects = CrashSuspects(clock=SystemClock())

    def merge(self, value: Any, elapsed_ms: float) -> None:
        self._suspects.merge(value, elapsed_ms=elapsed_ms)

    def mark_loaded(self) -> None:
        pass


DAEMON = {
    "address": "10.0.0.7:8628",
    "data_centre": "here",
    "crash_evidence": {
        "at": 1_700_000_000_000,
        "evidence": {
            "harmless": [["x", 5]],
            "crashes": [["r1", 5, [["a", "b"]], ["c"]]],
            "blamed": [["a"]],
        },
    },
}


def _listing(*entries: tuple[str, Any]) -> bytes:
    items = [
        {"metadata": {"name": name, "revision": 1}, "spec": spec}
        for name, spec in entries
    ]
    return orjson.dumps({"items": items, "current_rev": 5})


def _check_daemon(spec: Any) -> None:
    body = _listing(("d7", spec), ("d9", {**DAEMON, "address": "10.0.0.9:1"}))
    registry = DaemonRegistry(
        settings=SimpleNamespace(node="d1"),
        store=_store(body),
        clock=SystemClock(),
    )
    registry.keep(_Evidence())
    hosts = anyio.run(registry.read).unwrap()
    for host in hosts:
        NetworkAddress.parse(host.address)
    assert "10.0.0.9:1" in {host.address for host in hosts}


def _store(body: bytes) -> StoreClient:
    return StoreClient(
        address="10.0.0.2:1",
        network=_FixedNetwork(body),
        clock=EventLoopClock(),
    )


SPOILED = (b"\xff\xfe", b"\\ud800", b"\\udc00 \\ud83d", b"plain")
SPOILED_NUMBERS = (b"1e999", b"-1e400", b"NaN", b"Infinity", b"9" * 400)


@st.composite
def _answers(draw: Any) -> tuple[bytes, bool]:
    """Draws an answer's bytes, and whether only one entry is spoiled."""
    text = draw(st.sampled_from(SPOILED))
    number = draw(st.sampled_from(SPOILED_NUMBERS))
    spoiled = _listing(("good", REPLICA), ("bad", {"address": "@", "born": 0}))
    spoiled = spoiled.replace(b'"@"', b'"' + text + b'"')
    spoiled = spoiled.replace(b'"born":0', b'"born":' + number)
    if draw(st.booleans()):
        return spoiled, True
    sound = json.loads(_listing(("good", REPLICA)))
    sound["events"] = [{"object": sound["items"][0], "deleted": False}]
    return orjson.dumps(draw(mutated(sound))), False


def _check_answer(drawn: tuple[bytes, bool]) -> None:
    body, one_entry = drawn

    async def ask() -> tuple[Any, Any]:
        store = _store(body)
        return (
            await store.list("servers"),
            await store.watch("servers", revision=1, wait_ms=0),
        )

    listed, _ = anyio.run(ask)
    objects = listed.unwrap().objects if isinstance(listed, Ok) else ()
    for each in objects:
        orjson.dumps([each.name, each.revision, each.spec])
        decode.replica(each)
    if one_entry:
        good = [decode.replica(each) for each in objects if each.name == "good"]
        assert good[0].is_ok()


GOSSIP = {
    "kind": "probe",
    "from": ["d2", "10.0.0.2:1", "here", "r", 5, "li", 1],
    "updates": [["d3", "10.0.0.3:1", "there", "r", 5, "su", 1]],
    "digest": "x",
    "riders": {
        "front": [
            ["d2", 5, 1, {"a": "10.0.0.2:80", "r": 1, "w": 0, "d": [3]}],
            ["d3", 5, 1, {"a": "10.0.0.3:80", "r": 1, "w": 0, "d": [3]}],
        ],
        "revisions": {"d2": 1},
    },
}


class _NoHosts(HostList):
    async def read(self) -> Any:
        return Ok(())


def _check_gossip(value: Any) -> None:
    clock = SystemClock()
    traffic = ControlTraffic(prometheus_client.CollectorRegistry())
    network = _FixedNetwork(orjson.dumps(value))
    members = Members(
        settings=SETTINGS,
        clock=clock,
        rng=random.Random(1),
        client=ControlClient(network=network, traffic=traffic),
        traffic=traffic,
        host_list=_NoHosts(),
        revision=lambda: 1,
    )
    view = MemberView(
        clock=clock,
        members=members,
        public_address="10.0.0.1:80",
        size_class=0,
        ready=lambda: True,
        decided_hashes=frozenset,
        min_count=lambda: 1,
    )

    async def exchange() -> None:
        for told in (value, GOSSIP):
            request = Request(method="POST", path="/", body=orjson.dumps(told))
            answer = await members.handle(request)
            assert answer.status in {200, 400}, answer
            # An answer to a message of this daemon's own is read as well.
            await members._probe_and_pull("10.0.0.2:1")

    anyio.run(exchange)
    for daemon in view.all():
        NetworkAddress.parse(daemon.address)
        NetworkAddress.parse(daemon.public_address)
    view.daemons_for_callers()
    orjson.dumps([member.encode() for member in members.all()])


STATE = {
    "held_ms": 5,
    "states": {
        "servers": {
            "revision": 7,
            "age_ms": 10,
            "objects": [["good", 1, REPLICA], ["other", 2, REPLICA]],
        },
        "config": {
            "revision": 9,
            "age_ms": 10,
            "changes": [["main", 2, CONFIGURATION, False]],
        },
    },
}


def _packed(value: Any) -> dict[str, Any]:
    return {"revision": 7, "age_ms": 10, "packed": value}


def _pack(values: bytes) -> str:
    return base64.b64encode(zlib.compress(values)).decode()


def _check_state(value: Any) -> None:
    deployment, replicas, configurations = _states()
    _merge(configurations, 1, objects=[["main", 1, CONFIGURATION]])
    exchange = StateExchange(
        clock=EventLoopClock(),
        rng=random.Random(1),
        network=_FixedNetwork(orjson.dumps(value)),
        daemons=FixedDaemons((peer(1), peer(2))),
        states=[replicas, configurations],
        timings=lambda: StateTimings(apply_ms=2_000.0),
    )

    async def poll() -> None:
        assert await exchange._poll(peer(2), wait_ms=0.0) >= 0
        await exchange.handle(Request(method="GET", path="/"))

    anyio.run(poll)
    _use(deployment)
    assert deployment.configuration is not None


def _nested(levels: int) -> bytes:
    return b"[" * levels + b"]" * levels


ODD_VALUES = (
    *(_nested(levels) for levels in (60, 130, 300, 1_000, 2_000, 100_000)),
    b'{"a":' * 500 + b"1" + b"}" * 500,
    b'"a\x01b"',
    b'"\xff\xfe"',
    b'"\\ud800"',
    b"1e999",
    b"9" * 400,
    b"9" * 5_000,
    b"NaN",
    b'"10.0.0.1:65536"',
    b'"10.0.0.1:-1"',
    b'"10.0.0.1:%b"' % (b"9" * 400),
)
"""Values that no reader, or only some readers, can parse or pass on."""
SOUND_NAMES = ("i-1", "i-2", "i-3")


@attrs.frozen(kw_only=True)
class OddEntry:
    """An entry of another writer, and where it stands among sound ones."""

    field: str
    value: bytes
    place: int

    def encode(self) -> bytes:
        """Returns the bytes that the store keeps."""
        fields = {k: orjson.dumps(v) for k, v in REPLICA.items()}
        fields[self.field] = self.value
        parts = (b'"%b":%b' % (k.encode(), v) for k, v in fields.items())
        return b"{" + b",".join(parts) + b"}"


def _store_object(name: str, revision: int, spec: bytes) -> bytes:
    return b'{"metadata":{"name":"%b","revision":%d},"spec":%b}' % (
        name.encode(),
        revision,
        spec,
    )


def _among_sound(odd: OddEntry, state: str, revision: int) -> list[bytes]:
    """Returns sound objects in a state, with the odd one in its place."""
    objects = [
        _store_object(
            name,
            revision,
            orjson.dumps(
                {
                    **REPLICA,
                    "address": f"10.0.1.{number}:80",
                    "state": "ready" if number else state,
                }
            ),
        )
        for number, name in enumerate(SOUND_NAMES)
    ]
    objects.insert(odd.place, _store_object("i-0", revision, odd.encode()))
    return objects


class _ListedAndWatched(Network):
    """Answers as the store does, first with a list and then with changes."""

    def __init__(self, odd: OddEntry) -> None:
        self._list = b'{"items":[%b],"has_more":false,"current_rev":5}' % (
            b",".join(_among_sound(odd, "ready", 5))
        )
        self._changes = b'{"events":[%b],"current_rev":9}' % b",".join(
            b'{"object":%b,"deleted":false}' % each
            for each in _among_sound(odd, "draining", 9)
        )

    @contextlib.asynccontextmanager
    async def open(self, address: str, request: Any, options: Any) -> Any:
        yield Ok(
            _WholeAnswer(
                self._changes if "watch" in request.query else self._list
            )
        )


def _check_odd_entry(odd: OddEntry) -> None:
    store = StoreClient(
        address="10.0.0.2:1",
        network=_ListedAndWatched(odd),
        clock=EventLoopClock(),
    )
    states = {}
    for name in ("reader", "follower"):
        deployment = Deployment(clock=SystemClock())
        state = ReplicaState(
            store=store, clock=SystemClock(), deployment=deployment
        )
        states[name] = (state, deployment)
    reader, _ = states["reader"]
    follower, _ = states["follower"]
    for expected in (set(SOUND_NAMES), set(SOUND_NAMES[1:])):
        known = follower.revision
        assert anyio.run(partial(reader.read, wait_ms=0)).is_ok()
        told = json_response(reader.encode_since(known)).body
        assert isinstance(told, bytes)
        follower.merge(parse_object(told).unwrap(), source="d2")
        for _, deployment in states.values():
            replicas = deployment.usable_replicas("plain")
            assert {r.name for r in replicas} - {"i-0"} == expected
            assert _may_be_used(odd) or len(replicas) == len(expected)


def _may_be_used(odd: OddEntry) -> bool:
    """Returns whether only a field is odd that says little of a replica."""
    try:
        spec = orjson.loads(odd.encode())
    except orjson.JSONDecodeError:
        return False
    return odd.field in {"zone", "version", "seq", "further"} and (
        not is_nested_deeper(spec, MAX_ENTRY_NESTING)
    )


ODD_ENTRIES = st.builds(
    OddEntry,
    field=st.sampled_from([*REPLICA, "further"]),
    value=st.sampled_from(ODD_VALUES),
    place=st.integers(0, len(SOUND_NAMES)),
)

REPORT = {"free_mb": 10.5, "born": 5, "items": [{"handle": "10.0.0.1:80/ab"}]}
HEADERS = (
    "x-attempt-id",
    "x-response-stamp",
    "x-not-executed",
    "x-replica-load",
    "server-limit",
    "server-brittle",
    "server-leaving",
    "retry-after",
    "content-type",
    "connection",
)
_HEADER = st.tuples(
    st.sampled_from(HEADERS).map(str.encode),
    st.one_of(
        st.sampled_from([b"1,2,8", b"1e400", b"nan", b"-1", b"9" * 5_000]),
        st.binary(max_size=12),
    ),
)
_REPLICA_ANSWERS = st.tuples(
    st.sampled_from([200, 409, 421, 429, 500, 503]),
    st.lists(_HEADER, max_size=4),
    st.one_of(mutated(REPORT).map(orjson.dumps), st.binary(max_size=30)),
    st.sampled_from([b"7", b"", b"x", b"-1", "²".encode(), b"9" * 5_000]),
)


def _check_replica_answer(drawn: Any) -> None:
    status, headers, body, number = drawn
    dialect = PlatformDialect()
    context = serving_context(
        decode.configuration(CONFIGURATION).unwrap().routes[0]
    )
    head = AnswerHead(status=status, headers=headers)
    dialect.decode_answer(context, head)
    report = dialect.decode_memory_report(head, body)
    assert report is None or report.min_free_bytes >= 0
    dialect.decode_born(head, body)
    for result in dialect.decode_pieces(head, body, 1) or ():
        if result.handle:
            dialect.replica_address_of(result.handle).encode("latin-1")
            assert not set(",\r\n") & set(result.handle)
    reader = dialect.event_reader()
    with contextlib.suppress(EventStreamError):
        reader.feed(b"id: " + number + b"\ndata: " + body + b"\n\n")


SOURCES = {
    "entries of replicas": Source(
        values=st.tuples(
            st.sampled_from(["i-1", "\ufffd", "a\nb", "x" * 500]),
            mutated(REPLICA),
        ),
        check=_check_replica,
    ),
    "configurations": Source(
        values=mutated({**CONFIGURATION, "version": 2}),
        check=_check_configuration,
    ),
    "entries of daemons": Source(values=mutated(DAEMON), check=_check_daemon),
    "answers of the store": Source(values=_answers(), check=_check_answer),
    "odd entries among sound ones": Source(
        values=ODD_ENTRIES,
        check=_check_odd_entry,
        examples=tuple(
            OddEntry(field="service", value=value, place=place)
            for value in ODD_VALUES
            for place in (0, len(SOUND_NAMES))
        ),
    ),
    "messages between daemons": Source(
        values=mutated(GOSSIP),
        check=_check_gossip,
        examples=(
            _replace(GOSSIP, ("from", 1), TEXTS[1]),
            _replace(GOSSIP, ("updates", 0, 1), TEXTS[1]),
        ),
    ),
    "states from other daemons": Source(
        values=mutated(STATE),
        check=_check_state,
        examples=tuple(
            _replace(STATE, ("states", "servers"), _packed(value))
            for value in (
                5,
                "",
                "no base64",
                _pack(b"{"),
                _pack(b"[1]"),
                _pack(b"5"),
                _pack(b'{"changes":5}'),
                _pack(b'{"changes":[]}')[:-8],
                _pack(bytes(MAX_BODY_BYTES + 1)),
            )
        ),
    ),
    "answers of replicas": Source(
        values=_REPLICA_ANSWERS,
        check=_check_replica_answer,
        examples=tuple(
            (200, [], orjson.dumps({"items": [{"handle": handle}]}), b"1")
            for handle in ("\ufffd:80/ab", "10.0.0.1:80/a,b", "a/b\r\nc: d")
        ),
    ),
}
