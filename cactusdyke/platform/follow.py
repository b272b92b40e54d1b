"""Decodes the operator's configuration and the list of replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

from result import Err, Ok

from cactusdyke import events
from cactusdyke.background import contain_errors
from cactusdyke.platform import decode
from cactusdyke.serving.followed_state import FollowedState

if TYPE_CHECKING:
    import contextlib

    from cactusdyke.clock import Clock
    from cactusdyke.errors import Failure
    from cactusdyke.infrastructure.watched_store import (
        Change,
        StoreObject,
        WatchedStore,
    )
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.model import Replica

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
REPLICAS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"


class DeploymentState(FollowedState):
    """A copy of one kind of objects, which is applied to a deployment."""

    kind: ClassVar[str]

    def __init__(
        self, *, store: WatchedStore, clock: Clock, deployment: Deployment
    ) -> None:
        super().__init__(kind=self.kind, store=store, clock=clock)
        self._deployment = deployment
        self._rejected: dict[str, int] = {}

    def _batch(self) -> contextlib.AbstractContextManager[None]:
        return self._deployment.batch()

    def _reject(self, entry: StoreObject, failure: Failure) -> None:
        """Logs and counts an entry that can't be read, once a revision.

        All entries are decoded again whenever they are listed.
        """
        if self._rejected.get(entry.name) == entry.revision:
            return
        self._rejected[entry.name] = entry.revision
        self._deployment.record_rejected()
        events.log(
            events.Event.SERVING_ENTRY_REJECTED,
            kind=self._kind,
            name=entry.name,
            revision=entry.revision,
            detail=failure.detail,
        )


class ConfigurationState(DeploymentState):
    """Applies the operator's newest configuration."""

    kind = CONFIGURATION_KIND

    def _apply_objects(self, source: str) -> None:
        entry = self._objects.get(CONFIGURATION_NAME)
        if entry is None:
            return
        decoded = decode.configuration(entry.spec)
        if isinstance(decoded, Err):
            self._reject(entry, decoded.err_value)
            return
        self._deployment.apply(decoded.ok_value, source=source)

    def _apply_change(self, change: Change, source: str) -> None:
        if change.object.name == CONFIGURATION_NAME and not change.deleted:
            self._apply_objects(source)


class EvacuationState(DeploymentState):
    """Keeps the list of evacuated data centres.

    An entry evacuates the data centre that it is named after, whatever its
    content is: a malformed entry still shows that somebody wants the data
    centre to receive nothing.
    """

    kind = EVACUATIONS_KIND

    def _apply_objects(self, source: str) -> None:
        self._deployment.replace_evacuated(
            frozenset(self._objects), source=source
        )

    def _apply_change(self, change: Change, source: str) -> None:
        del change
        self._apply_objects(source)


class ReplicaState(DeploymentState):
    """Keeps the list of replicas; a malformed entry rejects only itself."""

    kind = REPLICAS_KIND

    def _apply_objects(self, source: str) -> None:
        del source
        self._rejected = {
            name: revision
            for name, revision in self._rejected.items()
            if name in self._objects
        }
        decoded = map(self._decode, self._objects.values())
        self._deployment.replace_replicas(
            replica for replica in decoded if replica is not None
        )

    def _apply_change(self, change: Change, source: str) -> None:
        del source
        entry = change.object
        if change.deleted:
            self._rejected.pop(entry.name, None)
            self._deployment.remove_replica(entry.name)
            return
        replica = self._decode(entry)
        if replica is None:
            self._deployment.remove_replica(entry.name)
        else:
            self._deployment.put_replica(replica)

    def _decode(self, entry: StoreObject) -> Replica | None:
        """Returns the replica of an entry, None if it can't be read."""
        with contain_errors("read the entry of a replica"):
            decoded = decode.replica(entry)
            if isinstance(decoded, Ok):
                return decoded.ok_value
            self._reject(entry, decoded.err_value)
        return None
