"""The adapters to the platform, by the names that settings give them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cactusdyke.infrastructure.host_list import HttpHostList
from cactusdyke.infrastructure.http_object_store import HttpObjectStore
from cactusdyke.settings import HostListAdapter, ObjectStoreAdapter

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from cactusdyke.infrastructure.host_list import HostList
    from cactusdyke.infrastructure.object_store import ObjectStore
    from cactusdyke.settings import Settings
    from cactusdyke.transport.network import Network

_OBJECT_STORES: Mapping[ObjectStoreAdapter, Callable[..., ObjectStore]] = {
    ObjectStoreAdapter.HTTP: HttpObjectStore,
}
_HOST_LISTS: Mapping[HostListAdapter, Callable[..., HostList]] = {
    HostListAdapter.HTTP: HttpHostList,
}


def object_store(settings: Settings, network: Network) -> ObjectStore:
    """Returns the adapter to the object service that the settings name."""
    make = _OBJECT_STORES[settings.adapters.object_store]
    return make(address=settings.object_service, network=network)


def host_list(settings: Settings, network: Network) -> HostList:
    """Returns the adapter to the host list that the settings name."""
    make = _HOST_LISTS[settings.adapters.host_list]
    return make(address=settings.host_list, network=network)
