"""How commands reach a deployment: addresses and a token."""

from __future__ import annotations

import os
import pathlib
import re
from typing import TYPE_CHECKING

from cactusdyke.client import Client
from cactusdyke.cmd import output

if TYPE_CHECKING:
    from collections.abc import Sequence

ENTRY_VARIABLE = "CACTUSDYKE_ENTRY"
TOKEN_VARIABLE = "CACTUSDYKE_TOKEN"
_ADDRESS = re.compile(r"(\[[0-9a-fA-F:.]+\]|[^\s:/]+):([0-9]{1,5})")
_MAX_PORT = 65535


def connect(entry: str | Sequence[str], token_file: str = "") -> Client:
    """Returns a client for the addresses, with the token of a file."""
    return Client(seeds=addresses(entry), token=token(token_file))


def is_named(entry: str | Sequence[str]) -> bool:
    """Returns whether a deployment was named, by flag or environment."""
    return bool(entry or os.environ.get(ENTRY_VARIABLE, ""))


def addresses(entry: str | Sequence[str]) -> tuple[str, ...]:
    """Returns the addresses of `--entry`, or of CACTUSDYKE_ENTRY.

    Args:
        entry: Addresses `host:port`, separated by commas.
    """
    text = entry or os.environ.get(ENTRY_VARIABLE, "")
    parts = text.split(",") if isinstance(text, str) else text
    found = tuple(str(part).strip() for part in parts if str(part).strip())
    if not found:
        output.usage(
            f"no address; name one with --entry HOST:PORT or {ENTRY_VARIABLE}"
        )
    for address in found:
        match = _ADDRESS.fullmatch(address)
        if match is None or not 0 < int(match[2]) <= _MAX_PORT:
            output.usage(
                f"{address!r} is no address; write HOST:PORT, several"
                " separated by commas"
            )
    return found


def token(token_file: str = "") -> str:
    """Returns the bearer token of a file, or of CACTUSDYKE_TOKEN."""
    if not token_file:
        return os.environ.get(TOKEN_VARIABLE, "")
    return read_text(token_file).strip()


def read_text(path: str) -> str:
    """Returns a file's text, or ends with one line that names it."""
    try:
        return pathlib.Path(str(path)).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        output.usage(f"{path} can't be read ({reason}); name a readable file")
