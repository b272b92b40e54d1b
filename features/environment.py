"""Set-up that all scenarios share: the log is kept out of the output."""

from __future__ import annotations

import gc
import logging

GC_THRESHOLD = 100_000
"""New objects until a collection. Fleets of hundreds of daemons are large and
have few cycles; collections at the default cost a sixth of their time."""


def before_all(context):
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
    gc.set_threshold(GC_THRESHOLD, 20, 100)
