"""Decodes the operator's configuration and the list of replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from cactusdyke import events
from cactusdyke.platform import decode
from cactusdyke.serving.followed_state import FollowedState

if TYPE_CHECKING:
    from cactusdyke.clock import Clock
    from cactusdyke.errors import Failure
    from cactusdyke.infrastructure.watched_store import (
        Change,
        StoreObject,
        WatchedStore,
    )
    from cactusdyke.serving.deployment import Deployment

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
REPLICAS_KIND = "servers"


class ConfigurationState(FollowedState):
    """Puts the operator's newest configuration in force."""

    def __init__(
        self, *, store: WatchedStore, clock: Clock, deployment: Deployment
    ) -> None:
        super().__init__(kind=CONFIGURATION_KIND, store=store, clock=clock)
        self._deployment = deployment

    def _apply_objects(self, source: str) -> None:
        entry = self._objects.get(CONFIGURATION_NAME)
        if entry is None:
            return
        decoded = decode.configuration(entry.spec)
        if isinstance(decoded, Err):
            events.log(
                events.Event.SERVING_ENTRY_REJECTED,
                kind=self._kind,
                name=entry.name,
                revision=entry.revision,
                detail=decoded.err_value.detail,
            )
            return
        self._deployment.apply(decoded.ok_value, source=source)

    def _apply_change(self, change: Change) -> None:
        if change.object.name == CONFIGURATION_NAME and not change.deleted:
            self._apply_objects("store")


class ReplicaState(FollowedState):
    """Keeps the list of replicas, each entry decoded alone."""

    def __init__(
        self, *, store: WatchedStore, clock: Clock, deployment: Deployment
    ) -> None:
        super().__init__(kind=REPLICAS_KIND, store=store, clock=clock)
        self._deployment = deployment

    def _apply_objects(self, source: str) -> None:
        del source
        replicas = []
        for entry in self._objects.values():
            decoded = decode.replica(entry)
            if isinstance(decoded, Err):
                self._reject(entry, decoded.err_value)
            else:
                replicas.append(decoded.ok_value)
        self._deployment.replace_replicas(replicas)

    def _apply_change(self, change: Change) -> None:
        entry = change.object
        if change.deleted:
            self._deployment.remove_replica(entry.name)
            return
        decoded = decode.replica(entry)
        if isinstance(decoded, Err):
            self._reject(entry, decoded.err_value)
            self._deployment.remove_replica(entry.name)
            return
        self._deployment.put_replica(decoded.ok_value)

    def _reject(self, entry: StoreObject, failure: Failure) -> None:
        events.log(
            events.Event.SERVING_ENTRY_REJECTED,
            kind=self._kind,
            name=entry.name,
            revision=entry.revision,
            detail=failure.detail,
        )
