"""Daemons that send requests to replicas that leave or ask for rest."""

from __future__ import annotations

import collections

import anyio

from cactusdyke.serving.dialect import ReplicaStatement
from features.support.limit_fleet import (
    DESK,
    FIRST_TOKEN_MS,
    REPLICAS,
    Arrival,
    LimitFleet,
)

REST_MS = 3_000.0


class StatementFleet(LimitFleet):
    """A fleet whose replicas say that they leave, or refuse and ask for rest.

    Attributes:
        leaving: Names of the replicas that leave.
        resting: Names of those that refuse requests.
        refused: When each daemon was asked for rest by each replica.
        told_at: When the first answer said of a replica that it leaves.
    """

    def __init__(self, **values):
        super().__init__(**values)
        self.leaving = set()
        self.resting = set()
        self.refused = collections.defaultdict(list)
        self.told_at = {}

    def lapse(self):
        """Removes the entries of all leaving replicas."""
        for core in self.cores.values():
            for name in self.leaving:
                core._dispatch._deployment.remove_replica(name)

    def list_again(self):
        """Lists them again unchanged."""
        for core in self.cores.values():
            for replica in REPLICAS:
                core._dispatch._deployment.put_replica(replica)

    async def _look(self, core, name):
        deployment = core._dispatch._deployment
        desks = [
            desk
            for desk in deployment.usable_replicas(DESK)
            if deployment.statements.accepts(desk)
        ]
        if desks:
            await self._answer(core, name, self._rng.choice(desks))

    def _excluded(self, core, service):
        deployment = core._dispatch._deployment
        excluded = deployment.unusable_names(service)
        return excluded | {
            replica.name
            for replica in deployment.usable_replicas(service)
            if not deployment.statements.accepts(replica)
        }

    async def _answer(self, core, name, replica):
        now = self.hub.clock.now()
        self.arrivals.append(
            Arrival(at_ms=now, replica=replica.name, daemon=name)
        )
        statements = core._dispatch._deployment.statements
        if replica.name in self.resting:
            self.refused[name, replica.name].append(now)
            statements.record(replica, ReplicaStatement(rest_ms=REST_MS))
            return
        leaves = replica.name in self.leaving
        await anyio.sleep(FIRST_TOKEN_MS / 1_000)
        await self.hub.awake(name)
        if leaves:
            self.told_at.setdefault(replica.name, self.hub.clock.now())
        statements.record(replica, ReplicaStatement(leaves=leaves))

    def _attachment(self, core):
        return core.statements_attachment
