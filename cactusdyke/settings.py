"""A daemon's settings: its name, addresses, data centre and adapters."""

from __future__ import annotations

import enum
import pathlib

import attrs
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.util import checks, jsonc, structure
from cactusdyke.util.checks import Each, Matching, Within, checked


@attrs.frozen(kw_only=True)
class Peer:
    """Another daemon to begin membership with."""

    name: str = attrs.field(metadata=checked(checks.NAME))
    address: str = attrs.field(metadata=checked(checks.ADDRESS))
    data_centre: str = attrs.field(metadata=checked(checks.NAME))


class ObjectStoreAdapter(enum.StrEnum):
    """The adapters that can serve the object store."""

    HTTP = "http"


class HostListAdapter(enum.StrEnum):
    """The adapters that can serve the host list."""

    HTTP = "http"


@attrs.frozen(kw_only=True)
class Adapters:
    """Which adapter serves each interface, by name."""

    object_store: ObjectStoreAdapter = ObjectStoreAdapter.HTTP
    host_list: HostListAdapter = HostListAdapter.HTTP


@attrs.frozen(kw_only=True)
class Settings:
    """What one daemon is told when it starts.

    Attributes:
        name: The daemon's name, unique in the deployment.
        host: The IP number to listen on.
        port: The TCP port to listen on; 0 takes a free one.
        advertised_address: What callers and peers connect to, `host:port`.
        data_centre: The data centre that the host stands in.
        region: The region that the data centre belongs to.
        object_service: The platform's object service, `host:port`.
        host_list: The platform's host list, `host:port`.
        peers: Daemons to begin membership with.
        adapters: Which adapter serves each interface.
        extensions: Further extensions to load, by module name.
        operator_token_hashes: SHA-256 of bearer tokens that may submit before
            any operator is configured.
        peer_token: A secret that all daemons of a deployment share; without
            it anybody may use the paths between daemons.
        linger_ms: How long a stopping daemon goes on serving callers that
            still hold its address.
        memory_mb: Memory that the process may have; none if it is not limited.
        max_fds: Descriptors that it may have; the kernel's limit if none.
        log_file: Where events are written; standard error if empty.
    """

    name: str = attrs.field(metadata=checked(checks.NAME))
    host: str
    port: int = attrs.field(metadata=checked(Within(low=0, high=65535)))
    data_centre: str = attrs.field(metadata=checked(checks.NAME))
    object_service: str = attrs.field(metadata=checked(checks.ADDRESS))
    host_list: str = attrs.field(metadata=checked(checks.ADDRESS))
    region: str = attrs.field(default="default", metadata=checked(checks.NAME))
    advertised_address: str = attrs.field(
        default="",
        metadata=checked(
            Matching(
                pattern=f"|{checks.ADDRESS.pattern}", form=checks.ADDRESS.form
            )
        ),
    )
    peers: tuple[Peer, ...] = ()
    adapters: Adapters = attrs.field(factory=Adapters)
    extensions: tuple[str, ...] = ()
    operator_token_hashes: tuple[str, ...] = attrs.field(
        default=(), metadata=checked(Each(check=checks.TOKEN_HASH))
    )
    peer_token: str = attrs.field(default="", repr=False)
    linger_ms: float = attrs.field(
        default=5_000.0,
        metadata=checked(Within(low=0, high=600_000, unit="ms")),
    )
    memory_mb: float | None = attrs.field(
        default=None,
        metadata=checked(Within(low=1, high=1_000_000, unit="MB")),
    )
    max_fds: int | None = attrs.field(
        default=None, metadata=checked(Within(low=1, high=100_000_000))
    )
    log_file: str = ""

    @property
    def address(self) -> str:
        """The address that callers and peers connect to."""
        return self.advertised_address or f"{self.host}:{self.port}"


def load(path: str) -> Result[Settings, Failure]:
    """Reads and checks a settings file."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(
            Failure(
                kind=FailureKind.INVALID,
                detail=f"The settings file {path} can't be read: {error}",
            )
        )
    match jsonc.parse_text(text, name=path):
        case Ok(value):
            return structure.structure(value, Settings, name=path)
        case Err(failure):
            return Err(failure)
