"""Failure detector that considers a fault of its own daemon first."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err, Ok

from cactusdyke import events
from cactusdyke.membership.messages import GossipKind

if TYPE_CHECKING:
    from cactusdyke.clock import Clock, Instant
    from cactusdyke.membership.exchange import Exchange
    from cactusdyke.membership.member import Member
    from cactusdyke.membership.messages import Gossip
    from cactusdyke.membership.probe_schedule import ProbeSchedule
    from cactusdyke.membership.table import MemberTable

PROBE_TIMEOUT_MS = 500.0
INDIRECT_PROBE_CALL_TIMEOUT_MS = 1_000.0
MIN_PAUSE_MS = 1_000.0
MAX_SELF_SUSPICION = 3


class Prober:
    """Probes one daemon at a time, and indirectly if it does not answer.

    The suspicion that this daemon itself is at fault grows with each probe
    that neither the target nor any helper answers. It lengthens the time-out
    of direct probes.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        schedule: ProbeSchedule,
        exchange: Exchange,
        clock: Clock,
    ) -> None:
        self._table = table
        self._schedule = schedule
        self._exchange = exchange
        self._clock = clock
        self._self_suspicion = 0

    @property
    def isolated(self) -> bool:
        """Whether several probes have gone without any answer."""
        return self._self_suspicion >= MAX_SELF_SUSPICION

    def on_pause(self) -> None:
        """Restarts all suspicion timers after a pause of this process."""
        # After a pause, probes and suspicion timers have expired, and the
        # daemon would declare half the fleet dead (seen as a burst of
        # refutations). No answer can arrive while the process is paused.
        self._table.restart_suspicion_timers()
        events.log(events.Event.DAEMON_PAUSED, daemon=self._table.own.name)

    async def probe(self, member: Member) -> Gossip | None:
        """Probes a daemon and returns its answer, or None."""
        timeout_ms = PROBE_TIMEOUT_MS * (1 + self._self_suspicion)
        began = self._clock.now()
        answer = await self._exchange.send(
            GossipKind.PROBE,
            member.address,
            receiver=member,
            timeout_ms=timeout_ms,
        )
        if isinstance(answer, Ok):
            self._on_answer()
            if answer.ok_value.sender.name != member.name:
                # The host was replaced: another daemon has this address now.
                self._table.mark_dead(member.name)
            return answer.ok_value
        if not self._was_paused(began, 2 * timeout_ms):
            await self._probe_indirectly(member)
        return None

    async def _probe_indirectly(self, member: Member) -> None:
        helpers = self._schedule.helpers(member)
        answers: list[bool] = []

        async def probe_through(helper: Member) -> None:
            answer = await self._exchange.send(
                GossipKind.ASK,
                helper.address,
                receiver=helper,
                timeout_ms=INDIRECT_PROBE_CALL_TIMEOUT_MS,
                target=member.address,
            )
            if not isinstance(answer, Err):
                answers.append(answer.ok_value.reached)

        began = self._clock.now()
        async with anyio.create_task_group() as tasks:
            for helper in helpers:
                tasks.start_soon(probe_through, helper)
        if self._was_paused(began, 2 * INDIRECT_PROBE_CALL_TIMEOUT_MS) or any(
            answers
        ):
            return
        if answers:
            self._on_answer()
        elif helpers and not self.isolated:
            # Neither the target nor any helper answered: a fault of this
            # daemon's own network is more likely.
            self._self_suspicion += 1
            return
        self._table.suspect(member.name)

    def _on_answer(self) -> None:
        if self.isolated:
            # Suspicions that arose while this daemon was isolated are
            # unreliable. If they spread, each suspected daemon would have to
            # refute them. The entries are fetched again instead.
            self._table.forget_unreachable()
        self._self_suspicion = max(0, self._self_suspicion - 1)

    def _was_paused(self, began: Instant, allowed_ms: float) -> bool:
        paused = self._clock.now() - began > allowed_ms + MIN_PAUSE_MS
        if paused:
            self.on_pause()
        return paused
