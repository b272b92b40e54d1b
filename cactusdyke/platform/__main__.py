"""Runs the daemon on the users' platform."""

from __future__ import annotations

import gc
import signal
import sys

# Until the daemon handles it, half a second later, a SIGHUP would end it. What
# it speaks of is found then: the settings are read again as they differ.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Imports leave hardly any garbage; collecting it takes a tenth of a start.
gc.disable()

from cactusdyke.platform.program import main  # noqa: E402

gc.freeze()
gc.enable()
sys.exit(main())
