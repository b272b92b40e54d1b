"""Set-up and checks that all scenarios share."""

from __future__ import annotations

import gc
import logging

import eliot

from cactusdyke.events import Event

GC_THRESHOLD = 100_000
"""New objects until a collection. Fleets of hundreds of daemons are large and
have few cycles; collections at the default cost a sixth of their time."""


FAILURE_TAG = "background_failures"
"""Marks scenarios in which background tasks fail on purpose."""

_failed_tasks = []


def _collect_failed_tasks(message):
    code = Event.BACKGROUND_TASK_FAILED.code
    if str(message.get("message_type", "")).startswith(code):
        _failed_tasks.append(message)


def before_all(context):
    eliot.add_destinations(_collect_failed_tasks)
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
    gc.set_threshold(GC_THRESHOLD, 20, 100)


def before_scenario(context, scenario):
    _failed_tasks.clear()


def after_scenario(context, scenario):
    """Fails a scenario in which a background task has failed.

    The daemon goes on after such an error, which must not hide it from tests.
    """
    if FAILURE_TAG not in scenario.effective_tags:
        assert not _failed_tasks, _failed_tasks[0]
