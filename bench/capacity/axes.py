"""What is grown, one thing at a time, before the measured daemon."""

from __future__ import annotations

import abc
import threading
from collections.abc import Sequence

import anyio

from bench.capacity import load, probe
from bench.capacity.world import Shape, World, open_world

SECONDS_PER_HOUR = 3600.0
JOINING_S = 40.0
"""Daemons that started together pull each other's tables for 30 s."""
STREAMS_FOR_TOKENS = 25
LONG_STREAM_TOKENS = 512
SLOW_TOKEN_MS = 100.0


class Axis(abc.ABC):
    """One thing that grows, and the sizes that it is measured at.

    Attributes:
        name: The axis's name in the file.
        unit: What one of its size is.
        sizes: The sizes measured.
        tiny_sizes: The sizes that CI runs.
        extra_settle_s: How much longer than usual it takes to come to rest.
    """

    name: str
    unit: str
    sizes: Sequence[float]
    tiny_sizes: Sequence[float]
    extra_settle_s: float = 0.0

    @abc.abstractmethod
    def measure(
        self, size: float, *, settle_s: float, seconds: float
    ) -> probe.Sample:
        """Returns the daemon's rates at a size; `size` is in the sample."""


class ShapeAxis(Axis):
    """Grows one attribute of the world, and asks nothing of the daemon."""

    def __init__(
        self,
        *,
        attribute: str,
        unit: str,
        sizes: Sequence[float],
        tiny_sizes: Sequence[float],
        extra_settle_s: float = 0.0,
    ) -> None:
        self.name = attribute
        self.unit = unit
        self.sizes = sizes
        self.tiny_sizes = tiny_sizes
        self.extra_settle_s = extra_settle_s

    def measure(
        self, size: float, *, settle_s: float, seconds: float
    ) -> probe.Sample:
        """Measures an idle daemon in a world of that size."""
        shape = Shape(**{self.name: int(size)})
        with open_world(shape) as world:
            sample = world.measure(settle_s=settle_s, seconds=seconds)
        return {"size": size, **sample}


class ChangesAxis(Axis):
    """Grows the number of configuration changes an hour."""

    name = "changes_per_hour"
    unit = "change/h"
    sizes = (0, 900, 1800, 3600, 7200)
    tiny_sizes = (0, 1800)

    def measure(
        self, size: float, *, settle_s: float, seconds: float
    ) -> probe.Sample:
        """Measures while one customer's limit is changed again and again."""
        with open_world(Shape(customers=50)) as world:
            changes = _Changes(world, size)
            changes.start()
            sample = world.measure(settle_s=settle_s, seconds=seconds)
            changes.stop()
        return {"size": size, "changes": float(changes.made), **sample}


class _Changes(threading.Thread):
    def __init__(self, world: World, per_hour: float) -> None:
        super().__init__(daemon=True)
        self._world = world
        self._per_hour = per_hour
        self._ended = threading.Event()
        self.made = 0

    def run(self) -> None:
        """Submits at the rate until it is stopped."""
        if not self._per_hour:
            return
        pause_s = SECONDS_PER_HOUR / self._per_hour
        while not self._ended.wait(pause_s):
            self.made += 1
            answers = self._world.answers()
            answers["customers"][1]["burst"] = 1000 + self.made
            self._world.submit(answers)

    def stop(self) -> None:
        """Ends the changes."""
        self._ended.set()
        self.join()


class RequestsAxis(Axis):
    """Grows the whole requests of one stage a second."""

    name = "requests"
    unit = "request/s"
    sizes = (5, 10, 20, 40)
    tiny_sizes = (2, 4)

    def measure(
        self, size: float, *, settle_s: float, seconds: float
    ) -> probe.Sample:
        """Measures under a steady rate; every request must be answered."""
        with open_world(Shape()) as world:
            sample, outcome = anyio.run(
                lambda: load.requests(
                    world.address,
                    per_second=size,
                    settle_s=settle_s,
                    seconds=seconds,
                )
            )
        return {
            "size": size,
            "answered": float(outcome.answered),
            "failed": float(outcome.failed),
            **sample,
        }


class StreamsAxis(Axis):
    """Grows the streams that are open at once, each slow."""

    name = "open_streams"
    unit = "stream"
    sizes = (10, 25, 50, 100)
    tiny_sizes = (1, 2)

    def measure(
        self, size: float, *, settle_s: float, seconds: float
    ) -> probe.Sample:
        """Measures with streams of ten tokens a second each."""
        shape = Shape(token_ms=SLOW_TOKEN_MS, tokens=LONG_STREAM_TOKENS)
        sample = _with_streams(shape, int(size), settle_s, seconds)
        return {"size": size, **sample}


class TokensAxis(Axis):
    """Grows the tokens a second over a fixed number of streams."""

    name = "tokens"
    unit = "token/s"
    sizes = (250, 500, 1000, 2000)
    tiny_sizes = (100, 200)

    def measure(
        self, size: float, *, settle_s: float, seconds: float
    ) -> probe.Sample:
        """Measures; the size is the rate that arrived."""
        token_ms = 1000.0 * STREAMS_FOR_TOKENS / size
        shape = Shape(token_ms=token_ms, tokens=LONG_STREAM_TOKENS)
        sample = _with_streams(shape, STREAMS_FOR_TOKENS, settle_s, seconds)
        return {"aimed_at": size, "size": sample["tokens"], **sample}


def _with_streams(
    shape: Shape, count: int, settle_s: float, seconds: float
) -> probe.Sample:
    with open_world(shape) as world:
        sample, outcome = anyio.run(
            lambda: load.streams(
                world.address, count=count, settle_s=settle_s, seconds=seconds
            )
        )
    return {"failed": float(outcome.failed), **sample}


AXES: tuple[Axis, ...] = (
    ShapeAxis(
        attribute="daemons",
        unit="daemon",
        sizes=(3, 6, 12, 24, 48),
        tiny_sizes=(2, 3),
        extra_settle_s=JOINING_S,
    ),
    ShapeAxis(
        attribute="replicas",
        unit="replica",
        sizes=(30, 150, 600, 1200, 1800),
        tiny_sizes=(3, 6),
    ),
    ShapeAxis(
        attribute="customers",
        unit="customer",
        sizes=(5, 50, 210, 500),
        tiny_sizes=(2, 4),
    ),
    ShapeAxis(
        attribute="models",
        unit="model",
        sizes=(2, 6, 12, 24),
        tiny_sizes=(1, 2),
    ),
    ShapeAxis(
        attribute="pipelines",
        unit="configuration object",
        sizes=(10, 50, 200, 400),
        tiny_sizes=(2, 4),
    ),
    ChangesAxis(),
    RequestsAxis(),
    StreamsAxis(),
    TokensAxis(),
)
