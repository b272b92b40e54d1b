"""Runs every room's scenarios and ends with `N passed, N failed`.

Each folder below features/ is run by a behave process of its own, a few at a
time; those whose scenarios need the machine for themselves have a turn of their
own at the end. A scenario named in KNOWN-RED.txt may fail; it is printed, not
counted.
"""

from __future__ import annotations

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import time

import attrs

FEATURES = pathlib.Path("features")
REPORTS = pathlib.Path("build/features")
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
AT_A_TIME = 4
NOT_ROOMS = {"steps", "support", "__pycache__"}
LONGEST_FIRST = (
    "quarantine",
    "emulator",
    "replica_limits",
    "stream_versions",
    "configuration_reach",
    "replica_statements",
    "retries",
    "capacity",
    "platform",
    "serving",
)
"""Rooms that would run alone at the end if they began last."""
ALONE = ("misbehaving_clients",)
"""Rooms that run beside no other one."""


@attrs.frozen(kw_only=True)
class RoomResult:
    """How one room's scenarios ended."""

    room: str
    passed: list[str]
    failed: list[str]
    output: str
    took_s: float


def known_red() -> set[str]:
    """Returns the names of scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split("|")[0].strip() for line in lines if line.strip()}


def run_room(room: str) -> RoomResult:
    """Runs one folder of scenarios."""
    report = REPORTS / f"{room}.json"
    report.unlink(missing_ok=True)
    command = [
        *(sys.executable, "-m", "behave", "--no-capture", "--no-color"),
        *("-f", "json", "-o", str(report), "-f", "plain", "-o", "-"),
        str(FEATURES / room),
    ]
    began = time.monotonic()
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    output = done.stdout + done.stderr
    passed: list[str] = []
    failed: list[str] = []
    if report.exists() and report.read_text(encoding="utf-8").strip():
        for feature in json.loads(report.read_text(encoding="utf-8")):
            for element in feature.get("elements", []):
                if element["type"] == "background":
                    continue
                good = element["status"] == "passed"
                # Rows of an unnamed table of examples end in a space.
                name = element["name"].strip()
                (passed if good else failed).append(name)
    if done.returncode and not failed:
        failed.append(f"{room}: behave ended with {done.returncode}")
    return RoomResult(
        room=room,
        passed=passed,
        failed=failed,
        output=output,
        took_s=time.monotonic() - began,
    )


def _order(room: str) -> tuple[int, str]:
    if room in LONGEST_FIRST:
        return LONGEST_FIRST.index(room), room
    return len(LONGEST_FIRST), room


def main() -> int:
    """Runs the rooms named, or all of them."""
    REPORTS.mkdir(parents=True, exist_ok=True)
    rooms = sys.argv[1:] or sorted(
        path.name
        for path in FEATURES.iterdir()
        if path.is_dir() and path.name not in NOT_ROOMS
    )
    rooms = sorted(rooms, key=_order)
    together = [room for room in rooms if room not in ALONE]
    with concurrent.futures.ThreadPoolExecutor(AT_A_TIME) as pool:
        results = list(pool.map(run_room, together))
    results += [run_room(room) for room in rooms if room in ALONE]
    allowed = known_red()
    passed = 0
    failed = 0
    for result in results:
        bad = [name for name in result.failed if name not in allowed]
        red = [name for name in result.failed if name in allowed]
        passed += len(result.passed)
        failed += len(bad)
        print(
            f"{result.room}: {len(result.passed)} passed, {len(bad)} failed,"
            f" {result.took_s:.0f} s"
        )
        if bad:
            print(result.output)
        for name in red:
            print(f"known red: {name}")
    if passed + failed == 0:
        failed = 1
        print("no scenario was run")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
