"""The table of routes: which handler answers which method and path."""

from __future__ import annotations

import attrs
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.transport.messages import (
    Handler,
    Request,
    Response,
    failure_response,
)


@attrs.frozen(kw_only=True)
class _Route:
    parts: tuple[str, ...]
    handlers: dict[str, Handler] = attrs.field(factory=dict)


class Routes:
    """Finds the handler of a request; `{name}` matches one path part."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, ...], _Route] = {}

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Registers a handler for a method and a path pattern."""
        parts = tuple(path.strip("/").split("/"))
        route = self._routes.setdefault(parts, _Route(parts=parts))
        route.handlers[method] = handler

    async def handle(self, request: Request) -> Response:
        """Answers a request, also where no handler fits."""
        match self._find(request):
            case Ok((handler, parameters)):
                return await handler(
                    attrs.evolve(request, parameters=parameters)
                )
            case Err(failure):
                return failure_response(failure)

    def _find(
        self, request: Request
    ) -> Result[tuple[Handler, dict[str, str]], Failure]:
        parts = tuple(request.path.strip("/").split("/"))
        for route in self._routes.values():
            parameters = _match(route.parts, parts)
            if parameters is None:
                continue
            if request.method not in route.handlers:
                return Err(_wrong_method(request, route))
            return Ok((route.handlers[request.method], parameters))
        return Err(
            Failure(
                kind=FailureKind.NOT_FOUND,
                detail=f"There is no path {request.path[:200]!r}",
            )
        )


def _match(
    pattern: tuple[str, ...], parts: tuple[str, ...]
) -> dict[str, str] | None:
    if len(pattern) != len(parts):
        return None
    parameters = {}
    for expected, actual in zip(pattern, parts, strict=True):
        if expected.startswith("{"):
            parameters[expected[1:-1]] = actual
        elif expected != actual:
            return None
    return parameters


def _wrong_method(request: Request, route: _Route) -> Failure:
    allowed = ", ".join(sorted(route.handlers))
    return Failure(
        kind=FailureKind.METHOD_NOT_ALLOWED,
        detail=f"{request.method} is not allowed here, only {allowed}",
    )
