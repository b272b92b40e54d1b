"""Steps about the questionnaire, its examples and the settings."""

from __future__ import annotations

import json
import pathlib
import random
from typing import Any

import hypothesis
import orjson
import pyjson5
from behave import then, when
from hypothesis import strategies as st

from bench.naive import generator
from cactusdyke import settings
from cactusdyke.configuration import objects
from cactusdyke.questionnaire import check, diff
from cactusdyke.questionnaire.generate import answers_of, generate
from cactusdyke.util import structure
from standins.fleet import token_hash

EXAMPLES = pathlib.Path("examples")


def example(name: str) -> Any:
    text = (EXAMPLES / f"{name}.jsonc").read_text(encoding="utf-8")
    return pyjson5.decode(text)


def put(value: Any, path: str, item: Any) -> None:
    *steps, last = [int(s) if s.isdecimal() else s for s in path.split("/")]
    for step in steps:
        value = value[step]
    value[last] = item


def generated(value: Any) -> Any:
    report = check.check_value(value, name="answers")
    assert report.answers is not None, report
    return generate(report.answers).unwrap()


def plain(value: Any) -> Any:
    return orjson.loads(orjson.dumps(structure.unstructure(value)))


@when('the questionnaire\'s "{path}" is {value}')
def when_value(context, path, value):
    answers = example("derwent")
    put(answers, path, pyjson5.decode(value))
    context.report = check.check_value(answers, name="answers")


@then('the questionnaire\'s errors hold "{text}"')
def then_errors(context, text):
    assert any(text in line for line in context.report.errors), context.report


@when("a questionnaire has a missing key, a wrong type and a bad range")
def when_three(context):
    answers = example("derwent")
    del answers["jobs"][0]["deadline_ms"]
    answers["customers"][0]["burst"] = "many"
    answers["pools"][0]["backend_servers"][0]["slots"] = 0
    context.report = check.check_value(answers, name="answers")


@then("the questionnaire's errors are {count:d}, each with its path")
def then_count(context, count):
    lines = context.report.errors
    assert len(lines) == count, lines
    for path in (
        "answers/jobs/0/deadline_ms: is missing",
        "answers/customers/0/burst: 'many'",
        "answers/pools/0/backend_servers/0/slots: 0 is not allowed",
    ):
        assert any(line.startswith(path) for line in lines), lines


@then('the questionnaire has no errors and warns "{text}"')
def then_warns(context, text):
    assert context.report.errors == ()
    assert any(text in line for line in context.report.warnings)


@then(
    'the example "{name}" has 3 data centres, {models:d} model replicas and'
    " 4 services of 3 replicas"
)
def then_example(context, name, models):
    context.example = name
    configuration = generated(example(name))
    pools = dict(configuration.pools)
    engines = pools.pop("models").backend_servers
    assert len(engines) == models
    assert [len(pool.backend_servers) for pool in pools.values()] == [3] * 4
    for pool in pools.values():
        assert len({s.data_centre for s in pool.backend_servers}) == 3


@then(
    'the example "{name}" has 5 customers and weighs attainment {weight} cost'
)
def then_customers(context, name, weight):
    configuration = generated(example(name))
    assert len(configuration.customers) == 5
    more = configuration.policy.attainment_weight > 0.5
    assert more == (weight == "more than")


@then("the settings of its {count:d} entry hosts are good")
def then_settings(context, count):
    paths = sorted((EXAMPLES / f"{context.example}-settings").iterdir())
    loaded = [settings.load(str(path)).unwrap() for path in paths]
    assert len({one.address for one in loaded}) == count
    for one in loaded:
        others = {other.address for other in loaded} - {one.address}
        assert {peer.address for peer in one.peers} == others


@st.composite
def questionnaires(draw: Any) -> dict[str, Any]:
    """Returns valid answers, with optional keys left out at random."""

    def maybe(**some: Any) -> dict[str, Any]:
        return {key: v for key, v in some.items() if draw(st.booleans())}

    number = st.integers(1, 1_000)
    pools = [
        {
            "name": f"pool-{p}",
            "kind": draw(st.sampled_from(["engine", "encoder", "reranker"])),
            "backend_servers": [
                {
                    "name": f"server-{p}-{s}",
                    "address": f"10.0.{p}.{s}:80",
                    "data_centre": f"centre-{s % 3}",
                    **maybe(speed=draw(number) / 8, slots=draw(number)),
                    **maybe(price_per_second=0.5, accelerator="a"),
                }
                for s in draw(st.permutations(range(draw(st.integers(1, 60)))))
            ],
            **maybe(checks_fencing_numbers=True, models=["m", "n"]),
        }
        for p in range(draw(st.integers(1, 3)))
    ]
    return {
        "deployment": "random",
        "attainment_against_cost": draw(st.sampled_from([0, 0.25, 1])),
        "when_cut_off": draw(st.sampled_from(["serve", "refuse_all"])),
        "operators": [
            {"name": f"operator-{o}", "token_hashes": [token_hash(f"o{o}")]}
            for o in range(draw(st.integers(0, 2)))
        ],
        "customers": [
            {
                "name": f"customer-{c}",
                "token_hashes": [token_hash(f"c{c}")],
                "requests_per_second": draw(number),
                "burst": draw(number),
                **maybe(share=draw(number), priority=draw(number)),
            }
            for c in range(draw(st.integers(0, 40)))
        ],
        "pools": pools,
        "jobs": [
            {
                "name": f"job-{j}",
                "deadline_ms": draw(number),
                "stages": [
                    {
                        "name": f"stage-{p}",
                        "pool": pool["name"],
                        **({"model": "m"} if "models" in pool else {}),
                        **maybe(usually_takes_ms=draw(number)),
                    }
                    for p, pool in enumerate(pools)
                ],
                **maybe(priority=draw(number)),
            }
            for j in range(draw(st.integers(0, 3)))
        ],
        **maybe(services=[], cut_off_after_ms=6_000),
    }


@then("{count:d} random questionnaires generate what the naive generator does")
def then_same(context, count):
    context.random = []

    @hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(questionnaires())
    def differ(answers):
        configuration = generated(answers)
        context.random.append((answers, configuration))
        assert plain(configuration) == generator.generate(answers)

    differ()
    assert len(context.random) >= count / 2


@then("their configurations survive being split into parts and joined")
def then_joined(context):
    for _, configuration in context.random:
        parts = objects.split(configuration)
        values = {
            name: objects.decode(
                data, objects.part_kind(name), name=name
            ).unwrap()
            for name, data in parts.items()
        }
        assert objects.join(0, values).unwrap() == configuration


@then("answers made from a configuration generate it again")
def then_again(context):
    for _, configuration in context.random:
        assert generate(answers_of(configuration)).unwrap() == configuration


@then("shuffled answers generate the same objects")
def then_shuffled(context):
    shuffled = example("tokachi")
    rng = random.Random(7)
    for key in ("customers", "operators", "pools", "jobs", "services"):
        rng.shuffle(shuffled[key])
    for pool in shuffled["pools"]:
        rng.shuffle(pool["backend_servers"])
    assert objects.split(generated(shuffled)) == objects.split(
        generated(example("tokachi"))
    )


@when("a limit, a replica, a stage and a token change in the example")
def when_changed(context):
    answers = example("derwent")
    old = generated(answers)
    answers["customers"][0]["requests_per_second"] = 75
    answers["customers"][1]["token_hashes"] = [token_hash("new")]
    answers["pools"][0]["backend_servers"][0]["name"] = "model-11"
    answers["jobs"][0]["stages"][2]["usually_takes_ms"] = 250
    context.lines = diff.describe(old, generated(answers))


@then("the difference has a line for each and shows no hash")
def then_lines(context):
    assert context.lines == [
        "~ customers/depot/token_hashes: 1 added, 1 removed",
        "~ customers/road-crews/requests_per_second: 60.0 -> 75.0",
        "- pools/models/backend_servers/model-1",
        "+ pools/models/backend_servers/model-11",
        "~ pipelines/phasing-summary/stages/rank-incidents/expected_ms:"
        " 200.0 -> 250.0",
    ], context.lines


@when('the settings\' "{path}" is {value}')
def when_settings(context, path, value):
    text = (EXAMPLES / "tokachi-settings" / "entry-1.jsonc").read_text()
    changed = pyjson5.decode(text)
    put(changed, path, json.loads(value))
    context.loaded = structure.structure(
        changed, settings.Settings, name="settings"
    )


@then('the settings\' errors hold "{text}"')
def then_settings_errors(context, text):
    assert text in context.loaded.unwrap_err().detail, context.loaded
