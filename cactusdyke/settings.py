"""A daemon's settings: its name, addresses, data centre and adapters."""

from __future__ import annotations

import pathlib

import attrs
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.util import jsonc, structure


@attrs.frozen(kw_only=True)
class Peer:
    """Another daemon to begin membership with."""

    name: str
    address: str
    data_centre: str


@attrs.frozen(kw_only=True)
class Adapters:
    """Which adapter serves each interface, by name."""

    object_store: str = "http"
    host_list: str = "http"


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
        linger_ms: How long a stopping daemon goes on serving callers that
            still hold its address.
        log_file: Where events are written; standard error if empty.
    """

    name: str
    host: str
    port: int = attrs.field(
        validator=[attrs.validators.ge(0), attrs.validators.le(65535)]
    )
    data_centre: str
    object_service: str
    host_list: str
    region: str = "default"
    advertised_address: str = ""
    peers: tuple[Peer, ...] = ()
    adapters: Adapters = attrs.field(factory=Adapters)
    extensions: tuple[str, ...] = ()
    operator_token_hashes: tuple[str, ...] = ()
    linger_ms: float = attrs.field(
        default=5_000.0, validator=attrs.validators.ge(0)
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
