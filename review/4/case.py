"""An entry of another writer with a field that is nested deeply."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig_2 import rig  # noqa: E402

DEPTH = 2_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
ENTRY = (
    b'{"service":%b,"address":"127.0.0.1:9","zone":"glenorchy","version":"v1",'
    b'"capacity":6,"state":"ready","cold_left_ms":0,"seq":1}' % NESTED
)
DRAIN_S = rig.BOUNDS["drain_ms"] / 1000
CONTACT_S = rig.BOUNDS["contact_ms"] / 1000
RECOVERY_S = rig.BOUNDS["recovery_s"]


async def send(run: rig.Rig, *, for_s: float, per_s: float) -> None:
    """Sends requests at a steady rate to the daemons in turn."""
    async with asyncio.TaskGroup() as tasks:
        for number in range(int(for_s * per_s)):
            daemon = run.daemons[number % len(run.daemons)]
            tasks.create_task(run.request(daemon, "/lookup/unit"))
            await asyncio.sleep(1 / per_s)


def served(run: rig.Rig, since: float) -> tuple[int, int]:
    """Returns how many requests since then were served, and how many sent."""
    sent = [a for at, _, a in run.answers if at >= since]
    return sum(a.complete and a.status == 200 for a in sent), len(sent)


async def case(folder: pathlib.Path) -> int:
    """Returns 1 if DRAIN or RECOVER was broken, 0 if both held."""
    async with rig.Rig(folder=folder) as run:
        run.configure(
            [rig.route("lookup", "/lookup/", "hire-desk", "idempotent")],
            [rig.service("hire-desk")],
        )
        for _ in range(3):
            await run.add_replica("hire-desk")
        await run.start_daemons()
        if not all(await run.wait_ready(most_s=20)):
            run.note("not all daemons became ready")
            return 2
        await asyncio.sleep(CONTACT_S)
        await send(run, for_s=3, per_s=20)
        if rig.troubled():
            run.store.put("servers", "i-0other", ENTRY)
            run.note("another writer has put servers/i-0other")
        await asyncio.sleep(CONTACT_S + 1)
        leaving = run.replicas[0]
        acknowledged = leaving.register("draining")
        run.note(f"{leaving.name} is draining, which the store acknowledged")
        await send(run, for_s=DRAIN_S + 5, per_s=20)
        late = [
            arrival
            for arrival in leaving.arrivals
            if arrival.at > acknowledged + DRAIN_S
        ]
        leaving.crash()
        leaving.unregister()
        run.note(f"{leaving.name} has left")
        before, sent_before = served(run, acknowledged)
        for daemon in run.daemons:
            await daemon.kill()
        run.note("all daemons were killed")
        await run.start_daemons(bootstrap=False)
        run.note("all daemons were started again")
        back = time.monotonic()
        await send(run, for_s=RECOVERY_S + 10, per_s=5)
        after, sent_after = served(run, back + RECOVERY_S)
        ready = await run.wait_ready(most_s=0)
        run.note_arrivals()
        run.note(f"{len(late)} requests reached {leaving.name} over drain_ms")
        run.note(f"before the kill {before} of {sent_before} were served")
        run.note(
            f"later than recovery_s after it {after} of {sent_after};"
            f" ready: {ready}"
        )
        recovered = 4 * after >= sent_after or 4 * before < sent_before
        print(f"late: {len(late)}, served {before}/{sent_before} before and")
        print(f"{after}/{sent_after} after; ready: {ready}")
        return int(bool(late) or not recovered)


if __name__ == "__main__":
    rig.main(case, FOLDER)
