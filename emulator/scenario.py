"""What a scenario file says: services, kinds of requests, load and faults."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from cactusdyke.util import jsonc, structure

if TYPE_CHECKING:
    from cactusdyke.errors import Failure


@attrs.frozen(kw_only=True)
class StageService:
    """A service whose replicas make stages' results in shared calls.

    Attributes:
        replicas: How many there are, spread over the data centres.
        batch: Most pieces in a call.
        call_ms: Time of a call without its pieces.
        piece_ms: Time that each piece adds.
        room_mb: Memory for results of one replica.
        lifetime_s: How long a result is kept that nobody frees.
        failing_share: Pieces that fail for no reason.
        link_mb_per_ms: What a replica fetches in a millisecond.
    """

    replicas: int
    batch: int
    call_ms: float
    piece_ms: float
    room_mb: float
    lifetime_s: float = 4.0
    failing_share: float = 0.0
    link_mb_per_ms: float = 1.25


@attrs.frozen(kw_only=True)
class EngineService:
    """A service of model engines.

    Attributes:
        replicas: How many there are, spread over the data centres.
        slots: Requests that one works on.
        kv_tokens: Tokens that its cache holds.
        read_tokens_per_ms: Prompt tokens that it reads in a millisecond.
        step_ms: Time of a token for one request.
        step_ms_per_request: What each other request adds.
        event_tokens: Tokens in one event of a stream.
        first_ms: From a prompt read to its first event.
        version: Version of the software of its replicas at the begin.
        breaking_share: Streams that break off in their middle.
        cold_s: How long a replica is cold after it has come back.
        cold_per_s: Requests a second that a cold one tolerates; 0 for any.
        unframed: Whether its answers state no length and end with their
            connection, as they do when it crashes.
    """

    replicas: int
    slots: int
    kv_tokens: int
    read_tokens_per_ms: float
    step_ms: float
    step_ms_per_request: float = 0.0
    event_tokens: int = 1
    first_ms: float = 30.0
    version: str = "v1"
    breaking_share: float = 0.0
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    unframed: bool = False


@attrs.frozen(kw_only=True)
class PlainService:
    """A service whose requests have no stages and no prompt.

    Attributes:
        replicas: How many there are, spread over the data centres.
        slots: Requests that one works on.
        work_ms: Time of one request.
        cold_s: How long a replica is cold after it has come back.
        cold_per_s: Requests a second that a cold one tolerates; 0 for any.
    """

    replicas: int
    slots: int
    work_ms: float
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class Stage:
    """One stage of a kind of request.

    Attributes:
        service: Who makes it.
        pieces: Mean number of pieces.
        most: Most pieces.
        share: Part of the requests that have the stage at all.
        after: Stages whose results it works on.
        result_kb: Size of a result.
        work: How many times `piece_ms` a piece takes.
    """

    service: str
    result_kb: float
    pieces: float = 1.0
    most: int = 30
    share: float = 1.0
    after: tuple[int, ...] = ()
    work: float = 1.0


@attrs.frozen(kw_only=True)
class SharedPart:
    """A part of prompts that requests share.

    Attributes:
        tokens: Its mean length.
        subjects: How many different ones there are.
    """

    tokens: int
    subjects: int


@attrs.frozen(kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Its name.
        service: Where it goes after its stages.
        per_s: Requests a second on a calm day.
        objective_ms: Time to the first event, or to the answer, that is worth
            all.
        patience_ms: How long its callers wait.
        worth: What an answer in time is worth.
        late_worth: What a later one is.
        priority: 0 is the most urgent.
        own_tokens: Mean prompt tokens that no other request has.
        shared: Parts of the prompt that others have as well, in order.
        events: Mean events of the answer, 0 for a whole answer.
        resumable: Whether a broken stream may go on elsewhere.
        repeatable: Whether a whole answer may be asked for more than once.
        retries: How often a caller tries again.
        stages: Its stages.
    """

    name: str
    service: str
    per_s: float
    objective_ms: float
    patience_ms: float
    worth: float
    late_worth: float = 0.0
    priority: int = 0
    own_tokens: int = 0
    shared: tuple[SharedPart, ...] = ()
    events: float = 0.0
    resumable: bool = False
    repeatable: bool = True
    retries: int = 1
    stages: tuple[Stage, ...] = ()

    @property
    def runs_once(self) -> bool:
        """Whether a request may run once at most."""
        return not (self.resumable if self.events else self.repeatable)


@attrs.frozen(kw_only=True)
class CustomerLoad:
    """A customer and its part of the requests.

    Attributes:
        name: Its name, which its callers also send as their key.
        demand: Its part of the requests of each kind, relative to others.
        weight: Its configured part of a service under overload.
    """

    name: str
    demand: float = 1.0
    weight: float = 1.0


@attrs.frozen(kw_only=True)
class Burst:
    """More of one kind, or of all, for a while."""

    from_s: float
    for_s: float
    times: float
    kind: str = ""


@attrs.frozen(kw_only=True)
class Fault:
    """Something that breaks.

    Attributes:
        what: `daemons_killed`, `daemons_lose_power`, `daemons_restarted` (in
            turn, without an end in good order), `daemons_cut_off` (from all
            other daemons, not from replicas and callers),
            `daemons_out_of_step` (cut off as these, and without the platform's
            list of replicas),
            `daemons_cut_from_replicas` (from all replicas, not from callers
            and other daemons), `replica_gone`,
            `replica_slow`, `replicas_share_machines` (a share of a service's
            replicas works slower, and another one every `every_s`),
            `replica_silent` (nothing passes to or from it for
            a while, and then goes on), `replica_crashed`,
            `data_centre_cold` (its replicas go down and come back cold),
            `data_centre_evacuated` (its replicas are to get nothing for a
            while, and are cold after it),
            `release` (a share of a service's replicas is replaced in turn by
            replicas of another software version), `replica_reinstalled` (ends,
            and comes back under its id with another software version),
            `replicas_limited` (state how many requests they take),
            `replicas_brittle` (state how many they may refuse in a second
            before they fall over, and let fewer wait),
            `replicas_leave` (say in their answers that they leave, while the
            platform's list has them as before, and are replaced in the end),
            `replicas_rest` (refuse some requests and ask for rest then),
            `crashing_request` (comes again and again, and crashes each
            replica that begins to run it), or `crashing_part` (requests that
            share one part of their prompts and are otherwise all different;
            each replica that begins to answer one crashes).
        at_s: When.
        for_s: How long; for a restart in turn the pause between two, for a
            crash the time until the replica is back under another name.
        share: Part of the daemons, or of the replicas that are limited,
            brittle or slow.
        service: Whose replica it is; for a cut from replicas and for daemons
            that are killed, the service whose decider is among them.
        data_centre: Which data centre it is; for a cut from replicas, where
            the daemons that are cut are, if not anywhere.
        most_refused: How many requests a brittle replica may refuse.
        how: What a cut from replicas does to connections: `hang`, `reset`, or
            `spare` for those that are open.
        times: How many times slower.
        kind: Of which kind a crashing request is.
        harmless_s: How long requests with a crashing part crash nothing.
        parts: How many parts a crashing part is; they always come together.
        refuses: Share of requests that replicas refuse which ask for rest.
        rest_s: How long they want no more requests from a daemon then.
        every_s: Mean time between two arrivals of a crashing request, or the
            time after which other replicas are slow.
        down_s: How long a replica is down that it has crashed.
        crash_after_ms: How long after its begin it crashes a replica.
        limit_per_s: Requests per second that a limited replica takes.
        version: Software version of the replicas that start.
        listed_late_s: How long after its start a replica's entry is updated in
            the platform's list.
    """

    what: str
    at_s: float
    for_s: float = 0.0
    share: float = 1.0
    service: str = ""
    data_centre: str = ""
    times: float = 1.0
    kind: str = ""
    every_s: float = 0.5
    down_s: float = 3.0
    crash_after_ms: float = 60.0
    limit_per_s: float = 1.0
    most_refused: int = 3
    how: str = "hang"
    version: str = ""
    listed_late_s: float = 0.0
    harmless_s: float = 0.0
    parts: int = 1
    refuses: float = 0.5
    rest_s: float = 1.5


@attrs.frozen(kw_only=True)
class Scenario:
    """One deployment, its load and what happens to it.

    Attributes:
        seconds: How long requests come.
        data_centres: Their names.
        daemons: How many daemons there are.
        start_s: Least time from a daemon's start to its first answer.
        start_spread_s: How much longer it takes some.
        way_ms: One way between data centres; a fifth of it within one.
        clump: Mean number of requests that come together.
        reports_load: Whether replicas state their load and slowdown.
        customers: Who sends the requests; routes are public if nobody.
        stage_services: By name.
        engine_services: By name.
        plain_services: By name.
        kinds: Kinds of requests.
        bursts: More load.
        faults: What breaks.
    """

    seconds: float
    data_centres: tuple[str, ...]
    daemons: int
    start_s: float = 0.5
    start_spread_s: float = 0.0
    way_ms: float = 0.5
    clump: float = 1.0
    reports_load: bool = False
    customers: tuple[CustomerLoad, ...] = ()
    stage_services: dict[str, StageService] = attrs.field(factory=dict)
    engine_services: dict[str, EngineService] = attrs.field(factory=dict)
    plain_services: dict[str, PlainService] = attrs.field(factory=dict)
    kinds: tuple[Kind, ...] = ()
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()


@attrs.frozen(kw_only=True)
class Policy:
    """What an experiment changes of the product.

    Attributes:
        constants: Values by `module.NAME`, such as a wait in milliseconds.
        replace: Classes or functions by `module.NAME`, as `module.NAME` of
            what takes their place.
    """

    constants: dict[str, float] = attrs.field(factory=dict)
    replace: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Experiment:
    """Scenarios and policies to play against each other.

    Attributes:
        scenarios: Files by name, next to the experiment's.
        policies: By name; `ours`, which changes nothing, is played as well.
        seeds: One play each.
    """

    scenarios: dict[str, str]
    policies: dict[str, Policy] = attrs.field(factory=dict)
    seeds: tuple[int, ...] = (1, 2, 3)


def load_scenario(path: pathlib.Path) -> Result[Scenario, Failure]:
    """Reads a scenario file, JSON with comments."""
    return _load(path, Scenario)


def load_experiment(path: pathlib.Path) -> Result[Experiment, Failure]:
    """Reads an experiment file, JSON with comments."""
    return _load(path, Experiment)


def _load(path: pathlib.Path, kind):  # type: ignore[no-untyped-def]
    value = jsonc.parse_text(path.read_text(encoding="utf-8"), name=str(path))
    if isinstance(value, Err):
        return value
    made = structure.structure(value.ok_value, kind, name=str(path))
    return made if isinstance(made, Err) else Ok(made.ok_value)
