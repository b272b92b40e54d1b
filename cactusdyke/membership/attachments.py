"""Small values that ride on the messages of membership."""

from __future__ import annotations

import abc
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, TypeAlias

import attrs
import orjson

from cactusdyke.membership.member import Member, MemberState

if TYPE_CHECKING:
    import random

    from cactusdyke.membership.table import MemberTable

MAX_VALUE_BYTES = 256
MAX_MESSAGE_BYTES = 600
SENDS_PER_VERSION = 12

Provider: TypeAlias = Callable[[], Mapping[str, Any]]
Reader: TypeAlias = Callable[[str, Mapping[str, Any]], None]


class Attachment(abc.ABC):
    """Adds a value to messages and reads what others added.

    Attributes:
        urgent: Whether it rides on urgent messages too, not only on probes
            and answers.
    """

    urgent = False

    @abc.abstractmethod
    def write(self, receiver: Member | None) -> Any:
        """Returns the value for a receiver, or None for no value.

        Args:
            receiver: Whom the message goes to; None if it is not yet known.
        """

    @abc.abstractmethod
    def read(self, sender: Member, value: Any) -> None:
        """Takes the value that a sender added.

        Raises:
            ValueError, TypeError, KeyError: The value is of no known form.
        """


@attrs.define(kw_only=True)
class _Attached:
    version: tuple[int, int]
    value: Mapping[str, Any]
    sends_left: int = SENDS_PER_VERSION


class VersionedAttachment(Attachment):
    """One small dictionary of each daemon, passed on to all others.

    A dictionary's version is its daemon's incarnation and a count, so that
    the newer one wins whatever way it came. Each message carries at most
    `MAX_ATTACHED_BYTES` of them: those that its receiver was never sent since
    it started, then those passed on least.
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
        self._owed: dict[str, tuple[int, list[str]]] = {}

    def write(self, receiver: Member | None) -> Any:
        """Returns the dictionaries that the receiver most likely lacks."""
        self._refresh_own()
        self._drop_dead()
        owed = self._owed_to(receiver)
        chosen: list[Any] = []
        size = 0
        for name in (*owed, *self._news(owed)):
            attached = self._values[name]
            size += len(orjson.dumps(attached.value)) + len(name)
            if size > MAX_MESSAGE_BYTES:
                break
            attached.sends_left -= 1
            chosen.append([name, *attached.version, attached.value])
        del owed[: len(chosen)]
        return chosen or None

    def _news(self, owed: list[str]) -> list[str]:
        """Returns who is still to be passed on, the least passed on first."""
        news = [
            (attached.sends_left, name)
            for name, attached in self._values.items()
            if attached.sends_left > 0 and name not in owed
        ]
        return [name for _, name in sorted(news, reverse=True)]

    def _owed_to(self, receiver: Member | None) -> list[str]:
        """Returns whose dictionaries a receiver was not sent since its start.

        A daemon that started again in a calm fleet was told of no other: each
        dictionary had been passed on often enough before. It knew the members,
        but where callers reach none of them, named itself alone to callers and
        decided alone, until others had something new to say.
        """
        if receiver is None:
            return []
        incarnation, names = self._owed.get(receiver.name, (None, []))
        if incarnation != receiver.incarnation:
            names = [name for name in self._values if name != receiver.name]
            # Each of those who meet it begins with others.
            self._rng.shuffle(names)
            self._owed[receiver.name] = (receiver.incarnation, names)
        names[:] = [name for name in names if name in self._values]
        return names

    def read(self, sender: Member, value: Any) -> None:
        """Takes dictionaries newer than those known."""
        for name, incarnation, count, attached in value:
            known = self._values.get(name)
            version = (int(incarnation), int(count))
            if name == self._table.own.name:
                continue
            if known is not None and version <= known.version:
                continue
            self._values[name] = _Attached(version=version, value=attached)
            self._reader(name, attached)

    def _refresh_own(self) -> None:
        own = self._table.own
        value = dict(self._provider())
        if len(orjson.dumps(value)) > MAX_VALUE_BYTES:
            raise ValueError(
                f"an attached value may hold {MAX_VALUE_BYTES} bytes"
            )
        known = self._values.get(own.name)
        if known is None or known.value != value:
            count = known.version[1] + 1 if known else 1
            version = (own.incarnation, count)
            self._values[own.name] = _Attached(version=version, value=value)

    def _drop_dead(self) -> None:
        for name in list(self._values):
            member = self._table.find(name)
            if member is not None and member.state is MemberState.DEAD:
                del self._values[name]
                self._owed.pop(name, None)
