"""Turns plain JSON values into attrs classes, naming every error."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import cattrs
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind

if TYPE_CHECKING:
    import attrs

T = TypeVar("T")

_converter = make_converter(forbid_extra_keys=True)


def structure(value: Any, kind: type[T], *, name: str) -> Result[T, Failure]:
    """Builds `kind` from `value`; `name` is where the value came from."""
    try:
        return Ok(_converter.structure(value, kind))
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        lines = "; ".join(cattrs.transform_error(error, path=name))
        return Err(Failure(kind=FailureKind.INVALID, detail=lines))


def unstructure(value: attrs.AttrsInstance) -> Any:
    """Returns the plain JSON value of an attrs object."""
    return _converter.unstructure(value)
