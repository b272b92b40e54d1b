"""Which other daemons there are, for those that ask them for something."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen(kw_only=True)
class Peer:
    """Another daemon and where to reach it."""

    name: str
    address: str
    data_centre: str


class Directory(abc.ABC):
    """Tells which daemons there are; membership is one."""

    @abc.abstractmethod
    def peers(self) -> Sequence[Peer]:
        """Returns the other daemons that seem to be alive."""
