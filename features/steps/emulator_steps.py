"""Steps of the emulator: plays, its maker, its command."""

from __future__ import annotations

import json
import pathlib
import random
import subprocess
import sys
import tempfile

import anyio
import attrs
from behave import given, then, when

from cactusdyke.util import jsonc
from emulator.arrivals import draw
from emulator.bound import bound
from emulator.experiment import OURS, run
from emulator.links import Answering, Call, Links
from emulator.scenario import (
    Experiment,
    Fault,
    Policy,
    StageService,
    load_experiment,
    load_scenario,
)
from emulator.stage_replicas import EmulatedStageReplica
from emulator.world import MB, World
from standins.virtual import run_virtual

SCENARIOS = pathlib.Path("emulator/scenarios")
NAIVE = Policy(
    replace={
        "cactusdyke.serving.batcher.StageQueue": "emulator.naive.ByArrival"
    }
)
SMALL = {
    "seconds": 4,
    "data_centres": ["here", "there"],
    "daemons": 3,
    "stage_services": {
        "roster": {
            "replicas": 2,
            "batch": 4,
            "call_ms": 100,
            "piece_ms": 10,
            "room_mb": 5,
        }
    },
    "engine_services": {
        "models": {
            "replicas": 2,
            "slots": 8,
            "kv_tokens": 50_000,
            "read_tokens_per_ms": 40,
            "step_ms": 5,
        }
    },
    "kinds": [
        {
            "name": "look",
            "service": "models",
            "per_s": 6,
            "objective_ms": 1_500,
            "patience_ms": 5_000,
            "worth": 1,
            "own_tokens": 500,
            "events": 5,
            "stages": [
                {"service": "roster", "pieces": 2, "result_kb": 100},
                {"service": "roster", "after": [0], "result_kb": 10},
            ],
        }
    ],
}
SEEDS = (1, 2, 5)


def _scenario(value):
    folder = tempfile.TemporaryDirectory()
    path = pathlib.Path(folder.name) / "scenario.jsonc"
    path.write_text(json.dumps(value), encoding="utf-8")
    scenario = load_scenario(path).unwrap()
    folder.cleanup()
    return scenario


@given("the scenario of a loss of power, with ten seconds of requests")
def loss_of_power(context):
    scenario = load_scenario(SCENARIOS / "mass-restart.jsonc").unwrap()
    fault = Fault(what="daemons_lose_power", at_s=5.0, for_s=1.2)
    burst = attrs.evolve(scenario.bursts[0], from_s=0.0)
    context.emulated = attrs.evolve(
        scenario, seconds=10, faults=(fault,), bursts=(burst,)
    )


def _play(context, policies):
    experiment = Experiment(scenarios={}, policies=policies)
    results = run(
        experiment, {"s": context.emulated}, seeds=SEEDS, jobs=len(SEEDS)
    )
    context.plays = {
        name: [results["s", name, seed] for seed in SEEDS]
        for name in (OURS, *policies)
    }


@when("it is played as it is and without what was built against the fault")
def played_without(context):
    loaded = load_experiment(SCENARIOS / "recovery.jsonc").unwrap()
    _play(context, {"before": loaded.policies["as before"]})


def _sums(context, other, name):
    return [
        sum(getattr(play, name) for play in context.plays[policy])
        for policy in (OURS, other)
    ]


@then("daemons disagree for less than a quarter as long")
def disagree(context):
    ours, before = _sums(context, "before", "disagreed_ms")
    assert 4 * ours < before, (ours, before)


@then("more is earned")
def earned_more(context):
    ours, before = _sums(context, "before", "worth")
    assert ours > before, (ours, before)


@when("it is played as it is and first come, first served")
def played_naive(context):
    _play(context, {"naive": NAIVE})


@then("each play is below its bound, and first come, first served below ours")
def below_bound(context):
    for number, seed in enumerate(SEEDS):
        arrivals = draw(context.emulated, random.Random(seed))
        most = bound(context.emulated, arrivals)
        for plays in context.plays.values():
            assert plays[number].worth < most < 1, (plays[number].worth, most)
    ours, naive = _sums(context, "naive", "worth")
    assert naive < ours, (naive, ours)


@given("a small scenario of one stage and engines")
def small(context):
    context.emulated = _scenario(SMALL)


@when("it is played twice with one seed and once with another")
def played_twice(context):
    seeds = {"first": 7, "again": 7, "other": 8}
    context.plays = {
        name: run(
            Experiment(scenarios={}),
            {"s": context.emulated},
            seeds=(seed,),
            jobs=1,
        )["s", OURS, seed]
        for name, seed in seeds.items()
    }


@then("the first two are the same and the third is not")
def same(context):
    assert context.plays["first"] == context.plays["again"]
    assert context.plays["first"] != context.plays["other"]


@then("its requests are answered on time")
def on_time(context):
    hows = context.plays["first"].hows
    assert hows["on_time"] >= 0.95 * sum(hows.values()), hows


class Told(Answering):
    """Keeps what a backend server answered."""

    body = None

    def head(self, status, **headers):
        raise AssertionError("a whole answer was expected")

    def part(self, data):
        raise AssertionError("a whole answer was expected")

    def end(self):
        raise AssertionError("a whole answer was expected")

    def whole(self, status, body, **headers):
        del headers
        self.status, self.body = status, body


@given("an emulated maker with room for two results")
def emulated_maker(context):
    context.spec = StageService(
        replicas=1, batch=4, call_ms=100.0, piece_ms=1.0, room_mb=2.5
    )


@when("three pieces are sent, one freed, and one more whose input is gone")
def pieces_sent(context):
    def item(name, inputs=()):
        return {
            "id": name,
            "inputs": list(inputs),
            "size": MB,
            "work": 1.0,
            "remaining_ms": 1_000,
        }

    async def ask(maker, path, body):
        answer = Told()
        call = Call(path=path, body=body, left=anyio.Event())
        await maker.serve(call, answer)
        return answer.body

    async def story():
        scenario = _scenario(SMALL)
        world = World(scenario=scenario, seed=1)
        async with world.hub:
            links = Links(world=world)
            maker = EmulatedStageReplica(
                world=world,
                spec=context.spec,
                name="m",
                service="s",
                data_centre="here",
            )
            links.add(maker)
            items = {"items": [item("a"), item("b"), item("c")]}
            context.made = (await ask(maker, "/make", items))["items"]
            context.told = (await ask(maker, "/report", {}))["free_mb"]
            handle = context.made[0]["handle"]
            await ask(maker, "/free", {"handles": [handle]})
            context.at_once = (await ask(maker, "/report", {}))["free_mb"]
            await anyio.sleep(0.25)
            context.later = (await ask(maker, "/report", {}))["free_mb"]
            items = {"items": [item("d", [handle])]}
            context.gone = (await ask(maker, "/make", items))["items"]

    run_virtual(story)


@then("two are made, one has no room, and the last one is told that it is gone")
def maker_rules(context):
    assert [set(one) for one in context.made] == [
        {"handle"},
        {"handle"},
        {"reason"},
    ]
    assert context.made[2]["reason"] == "room"
    assert context.gone == [{"reason": "gone"}]


@then("what it tells of its memory is whole and late")
def maker_tells(context):
    # 2.5 MB before the call, 0.5 after it, 1.5 once one was freed.
    assert (context.told, context.at_once, context.later) == (2, 2, 1)


EXPERIMENT = {"scenarios": {"small": "small.jsonc"}, "seeds": [1]}
FAULTS = {
    "no such scenario": {**EXPERIMENT, "scenarios": {"x": "absent.jsonc"}},
    "a policy of no module": {
        **EXPERIMENT,
        "policies": {"p": {"constants": {"nowhere.at.ALL": 1}}},
    },
    "a constant that is gone": {
        **EXPERIMENT,
        "policies": {
            "p": {"constants": {"cactusdyke.serving.stage_queue.GONE": 1}}
        },
    },
    "a scenario without kinds' service": {
        **EXPERIMENT,
        "scenarios": {"x": "broken.jsonc"},
    },
}


def _write(context, experiment):
    context.folder = tempfile.TemporaryDirectory()
    folder = pathlib.Path(context.folder.name)
    kind = {k: v for k, v in SMALL["kinds"][0].items() if k != "service"}
    broken = {**SMALL, "kinds": [kind]}
    for name, value in (
        ("experiment.jsonc", experiment),
        ("small.jsonc", SMALL),
        ("broken.jsonc", broken),
    ):
        (folder / name).write_text(json.dumps(value), encoding="utf-8")
    context.path = folder / "experiment.jsonc"


@given("an experiment with {fault}")
def experiment_with(context, fault):
    _write(context, FAULTS[fault])


@given("an experiment of a small scenario with a naive policy")
def small_experiment(context):
    policy = {"replace": dict(NAIVE.replace)}
    _write(context, {**EXPERIMENT, "policies": {"naive": policy}})


@when("it is run from the command line")
def run_command(context):
    folder = context.path.parent
    context.rows_path = folder / "table.json"
    context.plot_path = folder / "plot.png"
    context.done = subprocess.run(
        [
            *(sys.executable, "-m", "emulator", str(context.path)),
            *("--jobs", "2", "--json", str(context.rows_path)),
            *("--plot", str(context.plot_path)),
        ],
        capture_output=True,
        text=True,
        check=False,
    )


@then("it ends with exit code 2 and names {named}")
def ends_with_two(context, named):
    assert context.done.returncode == 2, context.done
    assert named in context.done.stderr, context.done.stderr
    assert "Traceback" not in context.done.stderr


@then("it prints ours, the naive one and the bound, and writes both files")
def prints(context):
    assert context.done.returncode == 0, context.done.stderr
    rows = json.loads(context.rows_path.read_text())
    assert [row["policy"] for row in rows] == ["ours", "naive", "bound"]
    assert all(row["policy"] in context.done.stdout for row in rows)
    assert context.plot_path.read_bytes().startswith(b"\x89PNG")
    assert jsonc.parse_text(context.path.read_text(), name="x").is_ok()
