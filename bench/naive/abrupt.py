"""A daemon that stops as uvicorn does: the listener closes at SIGTERM."""

from __future__ import annotations

import sys

from cactusdyke import daemon, settings
from cactusdyke.application import Application


async def _do_not_drain(app: Application) -> None:
    del app


if __name__ == "__main__":
    Application.drain = _do_not_drain  # type: ignore[method-assign]
    daemon.main(settings.load(sys.argv[2]).unwrap())
