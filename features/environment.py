"""Set-up that all scenarios share: the log is kept out of the output."""

from __future__ import annotations

import logging


def before_all(context):
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
