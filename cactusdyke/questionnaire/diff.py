"""Describes in words what changes between two configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from cactusdyke.configuration import model

_KINDS = ("operators", "customers", "pools", "pipelines", "services")
_SECRET_FIELDS = frozenset({"token_hashes"})
_LISTS = frozenset({"backend_servers", "stages"})


def describe(old: model.Configuration, new: model.Configuration) -> list[str]:
    """Returns a line for each change, `+` added, `-` removed, `~` changed."""
    lines = list(_fields("policy", old.policy, new.policy))
    for kind in _KINDS:
        lines += _named(kind, getattr(old, kind), getattr(new, kind))
    return lines


def _named(
    path: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[str]:
    for name in sorted({*old, *new}):
        if name not in old:
            yield f"+ {path}/{name}"
        elif name not in new:
            yield f"- {path}/{name}"
        else:
            yield from _fields(f"{path}/{name}", old[name], new[name])


def _fields(path: str, old: Any, new: Any) -> Iterator[str]:
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if field.name in _SECRET_FIELDS:
            yield _secrets(f"{path}/{field.name}", before, after)
        elif field.name in _LISTS:
            yield from _listed(f"{path}/{field.name}", before, after)
        else:
            yield f"~ {path}/{field.name}: {_text(before)} -> {_text(after)}"


def _listed(path: str, old: Any, new: Any) -> Iterator[str]:
    before = {item.name: item for item in old}
    after = {item.name: item for item in new}
    yield from _named(path, before, after)
    kept = [name for name in before if name in after]
    if kept != [name for name in after if name in before]:
        yield f"~ {path}: order is now {', '.join(after)}"


def _secrets(path: str, old: Any, new: Any) -> str:
    added, removed = len(set(new) - set(old)), len(set(old) - set(new))
    return f"~ {path}: {added} added, {removed} removed"


def _text(value: Any) -> str:
    if isinstance(value, tuple):
        return f"[{', '.join(map(str, value))}]"
    return str(value)
