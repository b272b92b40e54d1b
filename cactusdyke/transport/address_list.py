"""How a caller's list of addresses is named and corrected in headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

LIST_HEADER = "x-cactusdyke-address-list"
ADDRESSES_HEADER = "x-cactusdyke-addresses"
LIFETIME_HEADER = "x-cactusdyke-addresses-lifetime-ms"


@attrs.frozen(kw_only=True)
class AddressList:
    """Addresses that a caller should use.

    Attributes:
        addresses: Each as `host:port`.
        lifetime_ms: How long they may be used without asking again.
    """

    addresses: tuple[str, ...]
    lifetime_ms: float

    @property
    def list_id(self) -> str:
        """A short name of the addresses, whatever their order."""
        return list_id(self.addresses)

    def to_headers(self) -> dict[str, str]:
        """Returns the headers that tell a caller this list."""
        return {
            ADDRESSES_HEADER: " ".join(self.addresses),
            LIFETIME_HEADER: f"{self.lifetime_ms:.0f}",
        }


def from_headers(headers: Mapping[str, str]) -> AddressList | None:
    """Returns the list that an answer's headers tell, None without one."""
    addresses = tuple(headers.get(ADDRESSES_HEADER, "").split())
    lifetime = headers.get(LIFETIME_HEADER, "")
    if not addresses or not lifetime.isdecimal():
        return None
    return AddressList(addresses=addresses, lifetime_ms=float(lifetime))


def list_id(addresses: Sequence[str]) -> str:
    """Returns a short name of a list of addresses, whatever their order."""
    return xxhash.xxh3_64_hexdigest(" ".join(sorted(addresses)).encode())
