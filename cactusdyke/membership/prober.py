"""Finds out which daemons answer, and doubts itself first."""

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
    """Probes one daemon at a time, through others where it doesn't answer.

    The doubt about this daemon itself grows with each probe that neither the
    target nor any helper answered, and lengthens the time-outs.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        rounds: ProbeSchedule,
        exchange: Exchange,
        clock: Clock,
    ) -> None:
        self._table = table
        self._rounds = rounds
        self._exchange = exchange
        self._clock = clock
        self._self_suspicion = 0

    @property
    def isolated(self) -> bool:
        """Whether nobody has answered for several probes."""
        return self._self_suspicion >= MAX_SELF_SUSPICION

    def on_pause(self) -> None:
        """Notes that this daemon itself stood still."""
        # A frozen daemon wakes with probes out of time and suspicions run
        # out, and would declare half the fleet dead (seen as a burst of
        # contradictions). Nobody can have answered it while it stood still.
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
                # Another daemon has taken the address: its host was replaced.
                self._table.mark_dead(member.name)
            return answer.ok_value
        if not self._was_paused(began, 2 * timeout_ms):
            await self._probe_indirectly(member)
        return None

    async def _probe_indirectly(self, member: Member) -> None:
        helpers = self._rounds.helpers(member)
        answers: list[bool] = []

        async def ask(helper: Member) -> None:
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
                tasks.start_soon(ask, helper)
        if self._was_paused(began, 2 * INDIRECT_PROBE_CALL_TIMEOUT_MS) or any(
            answers
        ):
            return
        if answers:
            self._on_answer()
        elif helpers and not self.isolated:
            # Neither the target nor anybody else answered: this daemon's own
            # way out is the likelier fault.
            self._self_suspicion += 1
            return
        self._table.suspect(member.name)

    def _on_answer(self) -> None:
        if self.isolated:
            # What a daemon thought of others while nobody answered it is
            # worth nothing. If it spread that, each of them would have to
            # contradict. It learns the table anew instead.
            self._table.forget_unreachable()
        self._self_suspicion = max(0, self._self_suspicion - 1)

    def _was_paused(self, began: Instant, allowed_ms: float) -> bool:
        late = self._clock.now() - began > allowed_ms + MIN_PAUSE_MS
        if late:
            self.on_pause()
        return late
