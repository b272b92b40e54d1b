"""Runs the daemon on the users' platform."""

from __future__ import annotations

import gc
import sys

# Imports leave hardly any garbage; collecting it takes a tenth of a start.
gc.disable()

from cactusdyke.platform.program import main  # noqa: E402

gc.freeze()
gc.enable()
sys.exit(main())
