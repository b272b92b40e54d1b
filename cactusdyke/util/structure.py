"""Turns plain JSON values into attrs classes, naming every error."""

from __future__ import annotations

import collections.abc
import enum
import math
import typing
from typing import TYPE_CHECKING, Any, TypeVar

import attrs
import cattrs
from cattrs import cols
from cattrs.gen import make_dict_structure_fn, override
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.util import checks

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class _Rejected(ValueError):  # noqa: N818
    """A value that does not fit; its text says why and what to give."""


def structure(value: Any, kind: type[T], *, name: str) -> Result[T, Failure]:
    """Builds `kind` from `value`; `name` is where the value came from.

    The failure's detail lists every error, separated by semicolons.
    """
    found = structure_all(value, kind, name=name)
    return found.map_err(
        lambda problems: Failure(
            kind=FailureKind.INVALID, detail="; ".join(problems)
        )
    )


def structure_all(
    value: Any, kind: type[T], *, name: str
) -> Result[T, tuple[str, ...]]:
    """Builds `kind` from `value`, or returns every error as `path: text`."""
    try:
        return Ok(_converter.structure(value, kind))
    except (
        cattrs.BaseValidationError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        return Err(tuple(_lines(error, name)))


def unstructure(value: attrs.AttrsInstance) -> Any:
    """Returns the plain JSON value of an attrs object."""
    return _converter.unstructure(value)


def _lines(error: BaseException, path: str) -> list[str]:
    """Walks a tree of errors and returns a line for each leaf."""
    if not isinstance(
        error, (cattrs.ClassValidationError, cattrs.IterableValidationError)
    ):
        return _describe(error, path)
    lines: list[str] = []
    noted, others = error.group_exceptions()
    for child, note in noted:
        step = getattr(note, "name", None)
        if step is None:
            step = typing.cast("Any", note).index
        lines.extend(_lines(child, f"{path}/{step}"))
    for other in others:
        lines.extend(_lines(other, path))
    return lines


def _describe(error: BaseException, path: str) -> list[str]:
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        known = [field.name for field in attrs.fields(error.cl)]
        return [
            f"{path}/{key}: is not a known key; {checks.nearest(key, known)}"
            for key in sorted(map(str, error.extra_fields))
        ]
    if isinstance(error, KeyError):
        return [f"{path}: is missing; give it"]
    if isinstance(error, AttributeError):
        return [f"{path}: is not an object; give one in braces"]
    return [f"{path}: {error}"]


def _strict(
    accepted: type | tuple[type, ...], what: str
) -> Callable[[Any, Any], Any]:
    def hook(value: Any, kind: Any) -> Any:
        if not isinstance(value, accepted) or (
            isinstance(value, bool) and accepted is not bool
        ):
            raise _Rejected(f"{checks.shown(value)} is not {what}; give one")
        if isinstance(value, float) and not math.isfinite(value):
            raise _Rejected(f"{value} is not finite; give {what}")
        return kind(value)

    return hook


def _enum_hook(value: Any, kind: type[enum.StrEnum]) -> enum.StrEnum:
    known = [member.value for member in kind]
    if value not in known:
        raise _Rejected(
            f"{checks.shown(value)} is not allowed; give one of"
            f" {', '.join(known)}"
        )
    return kind(value)


def _is_tuple(kind: Any) -> bool:
    origin: Any = typing.get_origin(kind)
    return origin is tuple


def _tuple_factory(
    kind: Any, converter: cattrs.BaseConverter
) -> Callable[[Any, Any], Any]:
    inner = cols.homogenous_tuple_structure_factory(kind, converter)

    def hook(value: Any, kind: Any) -> Any:
        # A text would be taken for a list of its letters.
        if not isinstance(value, (list, tuple)):
            raise _Rejected(
                f"{checks.shown(value)} is not a list; give one in brackets"
            )
        return inner(value, kind)

    return hook


def _class_factory(
    kind: Any, converter: cattrs.Converter
) -> Callable[[Any, Any], Any]:
    overrides = {}
    for field in attrs.fields(attrs.resolve_types(kind)):
        check = field.metadata.get(checks.CHECK_KEY)
        if check is not None:
            inner = converter.get_structure_hook(field.type)
            overrides[field.name] = override(
                struct_hook=_checked_hook(inner, check)
            )
    # cattrs takes overrides by field name and its options by prefix.
    build = make_dict_structure_fn(
        kind,
        converter,
        _cattrs_forbid_extra_keys=True,
        **overrides,  # type: ignore[arg-type]
    )

    def hook(value: Any, kind: Any) -> Any:
        if not isinstance(value, collections.abc.Mapping):
            raise _Rejected(
                f"{checks.shown(value)} is not an object; give one in braces"
            )
        return build(value, kind)

    return hook


def _checked_hook(
    inner: Callable[[Any, Any], Any], check: checks.Check
) -> Callable[[Any, Any], Any]:
    def hook(value: Any, kind: Any) -> Any:
        found = inner(value, kind)
        if problem := check.problem(found):
            raise _Rejected(problem)
        return found

    return hook


def _make_converter() -> cattrs.Converter:
    converter = make_converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _strict(str, "a text"))
    converter.register_structure_hook(int, _strict(int, "a whole number"))
    converter.register_structure_hook(float, _strict((int, float), "a number"))
    converter.register_structure_hook(bool, _strict(bool, "true or false"))
    # Dispatched as a class, as StrEnum would else be taken for a text.
    converter.register_structure_hook(enum.StrEnum, _enum_hook)
    converter.register_structure_hook_factory(_is_tuple)(_tuple_factory)
    converter.register_structure_hook_factory(attrs.has)(_class_factory)
    return converter


_converter = _make_converter()
