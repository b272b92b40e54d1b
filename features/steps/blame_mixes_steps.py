"""Steps for random mixes of requests that share parts, and of crashes."""

from __future__ import annotations

import random
import statistics

from behave import then, when

from features.support.blame_mixes import (
    CrashCountRule,
    FewestPropertiesRule,
    LikelihoodRule,
    MixPlay,
    MostCrashesRule,
    OurRule,
    draw_collapse,
    draw_mix,
)

MIXES = 120
NAIVE_MIXES = 40
NAIVE = (CrashCountRule, MostCrashesRule, FewestPropertiesRule, LikelihoodRule)
CRASHES = 3
MAX_FURTHER = 3


def _play(draw, rule, count):
    plays = []
    for seed in range(count):
        mix = draw(random.Random(seed))
        plays.append((mix, MixPlay(mix=mix, rule=rule, seed=seed)))
    return plays


@when("random mixes of requests that share parts meet crashes")
def mixes(context):
    context.plays = _play(draw_mix, OurRule, MIXES)
    context.naive = {rule: _play(draw_mix, rule, NAIVE_MIXES) for rule in NAIVE}


@then("the bad part is refused after three crashes, at most three more")
def check_blamed(context):
    crashes = {
        seed: play.crashes
        for seed, (mix, play) in enumerate(context.plays)
        if mix.bad_every_ms
    }
    plays = [play for mix, play in context.plays if mix.bad_every_ms]
    assert all(play.blamed for play in plays)
    assert statistics.median(crashes.values()) == CRASHES, crashes
    assert max(crashes.values()) <= CRASHES + MAX_FURTHER, crashes


@then("no sound request is refused in these mixes")
def check_sound(context):
    refused = {
        seed: (mix, play.sound_refused)
        for seed, (mix, play) in enumerate(context.plays)
        if play.sound_refused
    }
    assert not refused, refused


@then("every naive rule refuses sound requests in them")
def check_naive(context):
    for rule, plays in context.naive.items():
        assert any(play.sound_refused for _, play in plays), rule


@when("replicas crash so often that hardly anything is answered")
def collapse(context):
    context.plays = _play(draw_collapse, OurRule, MIXES)


@then("at least half of the sound requests are sent to replicas")
def check_sent(context):
    refused = {
        seed: (play.sound_refused, play.sound)
        for seed, (_, play) in enumerate(context.plays)
        if play.sound_refused > play.sound / 2
    }
    assert not refused, refused
    assert any(play.sound_refused for _, play in context.plays)
