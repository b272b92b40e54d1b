"""Small values that are sent along with gossip messages."""

from __future__ import annotations

import abc
import itertools
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING, Any, TypeAlias

import attrs
import orjson

from cactusdyke.errors import DECODING_ERRORS
from cactusdyke.membership.member import Member, MemberState

if TYPE_CHECKING:
    import random

    from cactusdyke.membership.table import MemberTable

MAX_VALUE_BYTES = 256
MAX_NEWS_BYTES = 1_200
"""Dictionaries that have changed, in one message."""
MAX_CATCH_UP_BYTES = 600
"""Dictionaries that the receiver may have missed, in a message without news."""
MIN_CATCH_UP_BYTES = 300
"""The same in any message."""
SENDS_PER_VERSION = 12

Provider: TypeAlias = Callable[[], Mapping[str, Any]]
Reader: TypeAlias = Callable[[str, Mapping[str, Any]], None]


class Attachment(abc.ABC):
    """Writes a value into gossip messages and reads those of other daemons.

    Attributes:
        urgent: Whether the value is also sent with urgent messages, not only
            with probes and answers.
    """

    urgent = False

    @abc.abstractmethod
    def write(self, receiver: Member | None) -> Any:
        """Returns the value for a receiver, or None for no value.

        Args:
            receiver: The receiver of the message; None if it is not known.
        """

    @abc.abstractmethod
    def read(self, sender: Member, value: Any) -> None:
        """Reads the value that a sender attached.

        Raises:
            DECODING_ERRORS: The value is malformed.
        """


class ChangeAttachment(Attachment):
    """Sends each daemon one shared value, and again after each change.

    This reaches daemons that started later, or were frozen or unreachable when
    the change was sent to all.
    """

    def __init__(
        self,
        *,
        version: Callable[[], int],
        encode: Callable[[], Any],
        merge: Callable[[Any, str], None],
    ) -> None:
        """Creates the attachment.

        Args:
            version: Grows with each change of the value, 0 before the first.
            encode: Returns the value, None if there is none.
            merge: Merges the value of another daemon, given its name.
        """
        self._version = version
        self._encode = encode
        self._merge = merge
        self._sent: dict[str, tuple[int, int]] = {}

    def write(self, receiver: Member | None) -> Any:
        """Returns the value, None if there is none or it has been sent."""
        version = self._version()
        if receiver is None or not version:
            return None
        current = (receiver.incarnation, version)
        if self._sent.get(receiver.name) == current:
            return None
        self._sent[receiver.name] = current
        return self._encode()

    def read(self, sender: Member, value: Any) -> None:
        """Merges the value of the sender."""
        self._merge(value, sender.name)


@attrs.define(kw_only=True)
class _Attached:
    """A dictionary of one daemon.

    Attributes:
        version: Incarnation of its daemon, and a count.
        value: The dictionary.
        changed: Number of this change among all that this daemon has seen.
        sends_left: How often it is still to be sent as news.
    """

    version: tuple[int, int]
    value: Mapping[str, Any]
    changed: int
    sends_left: int = SENDS_PER_VERSION


class VersionedAttachment(Attachment):
    """Spreads one small dictionary of each daemon to all others.

    A dictionary's version is its daemon's incarnation and a count, so that
    the newer one wins regardless of the order of arrival. Each message
    carries the dictionaries that changed last and were not sent often enough,
    and some of those not yet sent to this receiver since it started. Each has
    bytes of its own: among hundreds of daemons the latter take minutes, and a
    change must not wait for them at each daemon on its way.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        provider: Provider,
        reader: Reader,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._provider = provider
        self._reader = reader
        self._rng = rng
        self._values: dict[str, _Attached] = {}
        self._unsent: dict[str, tuple[int, list[str]]] = {}
        self._changes = itertools.count()

    def write(self, receiver: Member | None) -> Any:
        """Returns the dictionaries that the receiver most likely lacks."""
        self._refresh_own()
        self._drop_dead()
        unsent = self._unsent_to(receiver)
        news = self._fitting(self._due(receiver), MAX_NEWS_BYTES)
        missed = [name for name in unsent if name not in news]
        left = MAX_CATCH_UP_BYTES - sum(map(self._size, news))
        catch_up = self._fitting(missed, max(MIN_CATCH_UP_BYTES, left))
        chosen = [*news, *catch_up]
        unsent[:] = [name for name in unsent if name not in chosen]
        entries: list[Any] = []
        for name in chosen:
            attached = self._values[name]
            attached.sends_left -= 1
            entries.append([name, *attached.version, attached.value])
        return entries or None

    def _due(self, receiver: Member | None) -> list[str]:
        """Returns names whose dictionary is due, the last changed first."""
        due = [
            (attached.changed, name)
            for name, attached in self._values.items()
            if attached.sends_left > 0
            and (receiver is None or name != receiver.name)
        ]
        return [name for _, name in sorted(due, reverse=True)]

    def _fitting(self, names: Iterable[str], max_bytes: int) -> list[str]:
        """Returns the first names whose dictionaries fit into a message."""
        fitting: list[str] = []
        size = 0
        for name in names:
            size += self._size(name)
            if size > max_bytes:
                break
            fitting.append(name)
        return fitting

    def _size(self, name: str) -> int:
        return len(orjson.dumps(self._values[name].value)) + len(name)

    def _unsent_to(self, receiver: Member | None) -> list[str]:
        """Returns names whose dictionary the receiver was not sent since start.

        Without this, a daemon that restarts while no dictionary changes gets
        none, because each was sent often enough before. It then has the
        members but none of their public addresses: it lists only itself to
        callers and is the only decider until other dictionaries change.
        """
        if receiver is None:
            return []
        incarnation, names = self._unsent.get(receiver.name, (None, []))
        if incarnation != receiver.incarnation:
            names = [name for name in self._values if name != receiver.name]
            # A random order, so that each sender starts with other names.
            self._rng.shuffle(names)
            self._unsent[receiver.name] = (receiver.incarnation, names)
        names[:] = [name for name in names if name in self._values]
        return names

    def read(self, sender: Member, value: Any) -> None:
        """Merges the dictionaries that are newer than the known ones.

        One that can't be read is left out, and not passed on.

        Raises:
            DECODING_ERRORS: Of the last one that can't be read.
        """
        malformed: Exception | None = None
        for entry in value:
            try:
                self._merge(*entry)
            except DECODING_ERRORS as error:
                malformed = error
        if malformed is not None:
            raise malformed

    def _merge(
        self,
        name: str,
        incarnation: int,
        count: int,
        attached: Mapping[str, Any],
    ) -> None:
        known = self._values.get(name)
        version = (int(incarnation), int(count))
        if name == self._table.own.name:
            return
        if known is not None and version <= known.version:
            return
        self._reader(name, attached)
        self._store(name, version, attached)

    def _store(
        self, name: str, version: tuple[int, int], value: Mapping[str, Any]
    ) -> None:
        self._values[name] = _Attached(
            version=version, value=value, changed=next(self._changes)
        )

    def _refresh_own(self) -> None:
        own = self._table.own
        value = dict(self._provider())
        if len(orjson.dumps(value)) > MAX_VALUE_BYTES:
            raise ValueError(
                f"attached dictionary exceeds {MAX_VALUE_BYTES} bytes"
            )
        known = self._values.get(own.name)
        if known is None or known.value != value:
            count = known.version[1] + 1 if known else 1
            version = (own.incarnation, count)
            self._store(own.name, version, value)

    def _drop_dead(self) -> None:
        for name in list(self._values):
            member = self._table.find(name)
            if member is not None and member.state is MemberState.DEAD:
                del self._values[name]
                self._unsent.pop(name, None)
