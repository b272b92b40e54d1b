"""Spans for each hop, kept in memory for a while and shown by trace id."""

from __future__ import annotations

import collections
import contextlib
import re
from typing import TYPE_CHECKING, Any

import attrs
import xxhash
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import NonRecordingSpan, SpanContext, TraceFlags

from cactusdyke.kernel import Service

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from opentelemetry.trace import Span, Tracer

KEPT_SPANS = 20_000
SPAN_BITS = (1 << 64) - 1
_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")


@attrs.frozen(kw_only=True)
class _EndedSpan:
    """What is kept of a span; the library's own object has five times that."""

    trace_id: int
    span_id: int
    parent_id: int | None
    name: str
    start_ns: int
    duration_ns: int
    attributes: tuple[tuple[str, Any], ...]

    def plain(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "span_id": format(self.span_id, "016x"),
            "parent_id": (
                "" if self.parent_id is None else format(self.parent_id, "016x")
            ),
            "start_ns": self.start_ns,
            "duration_ms": self.duration_ns / 1e6,
            "attributes": dict(self.attributes),
        }


class _RecentSpans(SpanExporter):
    """Keeps the last spans by trace id, in bounded memory."""

    def __init__(self, limit: int) -> None:
        self._spans: collections.deque[_EndedSpan] = collections.deque(
            maxlen=limit
        )

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Keeps the spans."""
        self._spans.extend(_ended(span) for span in spans if span.context)
        return SpanExportResult.SUCCESS

    def find(self, trace_id: str) -> list[_EndedSpan]:
        """Returns the kept spans of a trace."""
        return [
            span
            for span in self._spans
            if format(span.trace_id, "032x") == trace_id
        ]


class Tracing(Service):
    """Makes spans and answers for those of late.

    Args:
        daemon: Names the daemon in each span.
        kept: How many of the last spans are kept.
    """

    def __init__(self, *, daemon: str, kept: int = KEPT_SPANS) -> None:
        self._recent = _RecentSpans(kept)
        provider = TracerProvider(
            resource=Resource.create({"service.name": daemon})
        )
        provider.add_span_processor(SimpleSpanProcessor(self._recent))
        self._daemon = daemon
        self._tracer = provider.get_tracer("cactusdyke")

    @property
    def tracer(self) -> Tracer:
        """The tracer that spans are started with."""
        return self._tracer

    def start(self, name: str, parent: Span | None, **attributes: Any) -> Span:
        """Starts a span; who starts it ends it."""
        context = trace.set_span_in_context(parent) if parent else None
        return self._tracer.start_span(
            name, context=context, attributes=attributes
        )

    @contextlib.contextmanager
    def span(
        self, name: str, parent: Span | None, **attributes: Any
    ) -> Iterator[Span]:
        """Gives a span that ends with the block."""
        span = self.start(name, parent, **attributes)
        try:
            yield span
        finally:
            span.end()

    def of_request(
        self, name: str, request_id: str, **attributes: Any
    ) -> contextlib.AbstractContextManager[Span]:
        """Gives a span of the trace that a request's id names.

        Daemons that work for one request tell each other its id and nothing
        else; the spans of all come together by it.
        """
        return self.span(name, request_span(request_id), **attributes)

    def find(self, trace_id: str) -> list[dict[str, Any]]:
        """Returns the kept spans of a trace, earliest first."""
        spans = [span.plain() for span in self._recent.find(trace_id)]
        return sorted(spans, key=lambda span: int(span["start_ns"]))


def parse_traceparent(header: str | None) -> Span | None:
    """Returns the caller's span named in a W3C traceparent header."""
    match = _TRACEPARENT.fullmatch(header or "")
    if match is None:
        return None
    context = SpanContext(
        trace_id=int(match[1], 16),
        span_id=int(match[2], 16),
        is_remote=True,
        trace_flags=TraceFlags(int(match[3], 16)),
    )
    return NonRecordingSpan(context) if context.is_valid else None


def request_span(request_id: str) -> Span:
    """Returns the root that all spans of a request hang from."""
    digest = xxhash.xxh3_128_intdigest(request_id.encode())
    context = SpanContext(
        trace_id=digest or 1,
        span_id=digest & SPAN_BITS or 1,
        is_remote=True,
        trace_flags=TraceFlags(TraceFlags.SAMPLED),
    )
    return NonRecordingSpan(context)


def traceparent(span: Span) -> str:
    """Returns the W3C traceparent header that names a span."""
    context = span.get_span_context()
    return f"00-{context.trace_id:032x}-{context.span_id:016x}-01"


def trace_id(span: Span) -> str:
    """Returns a span's trace id in hexadecimal."""
    return format(span.get_span_context().trace_id, "032x")


def _ended(span: ReadableSpan) -> _EndedSpan:
    assert span.context is not None
    start_ns = span.start_time or 0
    return _EndedSpan(
        trace_id=span.context.trace_id,
        span_id=span.context.span_id,
        parent_id=span.parent.span_id if span.parent else None,
        name=span.name,
        start_ns=start_ns,
        duration_ns=(span.end_time or start_ns) - start_ns,
        attributes=tuple((span.attributes or {}).items()),
    )
