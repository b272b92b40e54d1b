"""Runs the graph of stages that a request needs before it can run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.serving.dialect import Piece
from cactusdyke.serving.dispatch_messages import (
    StageInputs,
    StageMade,
    StageWork,
)
from cactusdyke.serving.stage_queue import LARGE_TRANSFER_BYTES

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cactusdyke.clock import Clock
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.dispatch import Dispatch
    from cactusdyke.serving.model import StageSpec
    from cactusdyke.serving.request import ServingContext

LEAST_RETRY_AFTER_MS = 200
"""About a call: sooner there is no room for what found none."""
MOST_RETRY_AFTER_MS = 3_000.0
LATE_HOLD_MS = 2_500.0
"""How long a late request is held back before it is refused: the queues after
a loss of all daemons were worked off in two seconds."""
LATE_BACKLOG_MS = 800.0
"""Two to three calls: with less behind, its results are used soon."""
LOOK_EVERY_MS = 120.0
REMAKES = 2
"""How often lost inputs are made again for one request."""
ANSWER_MARGIN_MS = 60.0
"""From the last stage's result to the first token, without the prompt."""
BRANCH_MARGIN = 1.6
MS_PER_TOKEN = 0.02
WAIT_FACTOR = 1.5
"""A piece finds its replicas in the middle of a call, half a call on average.
Pieces served just in time for a shorter way are late at the end of the real
one, and under overload every one of them."""
"""About what a prompt token that no engine has read costs."""


class StageResults:
    """The results that one request's stages have made so far."""

    def __init__(self, context: ServingContext) -> None:
        self._context = context
        self._handles: dict[int, list[str]] = {}
        self.data_centre = ""
        """Where the engine stands that is likely to fetch the results."""
        self.used: set[int] = set()
        """Stages whose results were freed, as nothing needs them any more."""
        self.partly_made: dict[int, dict[int, str]] = {}
        """Results by stage and piece where others' inputs were gone."""

    @property
    def made(self) -> dict[int, list[str]]:
        """Handles by stage."""
        return self._handles

    def inputs_of(self, number: int) -> list[int]:
        """Returns the stages whose results a stage works on.

        A stage that the request leaves out passes on what it would have
        worked on itself.
        """
        found: list[int] = []
        for before in self._stages[number].after:
            present = self.count(before) > 0
            found.extend([before] if present else self.inputs_of(before))
        return list(dict.fromkeys(found))

    def last(self) -> list[int]:
        """Returns the stages whose results the request itself needs."""
        followed = {
            before
            for number in self.present()
            for before in self.inputs_of(number)
        }
        return [n for n in self.present() if n not in followed]

    def present(self) -> list[int]:
        """Returns the stages that the request has pieces of."""
        return [n for n in range(len(self._stages)) if self.count(n) > 0]

    def count(self, number: int) -> int:
        """Returns how many pieces of a stage the request has."""
        counts = self._context.request.piece_counts
        return counts[number] if number < len(counts) else 0

    @property
    def _stages(self) -> tuple[StageSpec, ...]:
        return self._context.route.stages


class StageRunner:
    """Makes the inputs of requests, stages side by side where they can be."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        dispatch: Dispatch,
        deployment: Deployment,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._dispatch = dispatch
        self._deployment = deployment

    async def run(
        self, context: ServingContext, results: StageResults
    ) -> Result[list[str], Failure]:
        """Makes what is missing; returns the handles that the request needs."""
        refusal = self._refusal(context, results)
        if refusal is None:
            refusal = await self._wait_for_room(context, results)
        if refusal is not None:
            return Err(refusal)
        results.data_centre = await self._engine_data_centre(context, results)
        for _ in range(REMAKES):
            answer = await self._run_missing(context, results)
            if not _lost_inputs(answer):
                break
            for number in tuple(results.partly_made):
                self._forget_inputs(context, results, number)
            refusal = await self._wait_for_room(context, results)
            if refusal is not None:
                return Err(refusal)
        else:
            answer = await self._run_missing(context, results)
        if isinstance(answer, Err):
            return answer
        return Ok([h for n in results.last() for h in results.made[n]])

    def _refusal(
        self, context: ServingContext, results: StageResults
    ) -> Failure | None:
        """Refuses at once a request that would not come through in time.

        Begun all the same it would take the first stages' time from others,
        and be given up seconds later in the queue of the narrow one.
        """
        if results.made:
            return None
        wait_ms = 0.0
        way_ms = 0.0
        for number in results.present():
            service = context.route.stages[number].service
            backlog = self._dispatch.backlog(service)
            wait_ms = max(wait_ms, backlog.all_ms)
            way_ms = max(
                way_ms,
                backlog.all_ms
                + self._stage_ms(context, results, number)
                + self._rest_ms(context, results, number),
            )
        left_ms = context.first_by - self._clock.now()
        if way_ms <= left_ms:
            return None
        return self._busy(wait_ms)

    def _busy(self, wait_ms: float) -> Failure:
        spread = self._rng.uniform(0.7, 1.3)
        return Failure(
            kind=FailureKind.OVERLOADED,
            detail=f"stages are busy for {wait_ms:.0f} ms, longer than the"
            " request can wait",
            retry_after_ms=int(min(MOST_RETRY_AFTER_MS, wait_ms * spread)),
        )

    async def _wait_for_room(
        self, context: ServingContext, results: StageResults
    ) -> Failure | None:
        """Holds a late request back, unbegun, while its stages are behind.

        Begun, it fills the makers' memory with results that wait behind those
        of requests that can be on time, until they expire and are made again.
        """
        until = self._clock.now() + LATE_HOLD_MS
        while not results.made and self._is_late(context, results):
            behind_ms = self._behind_ms(context, results)
            if behind_ms <= LATE_BACKLOG_MS:
                return None
            if self._clock.now() >= until:
                return self._busy(behind_ms)
            await self._clock.sleep(LOOK_EVERY_MS * self._rng.uniform(0.7, 1.3))
        return None

    def _is_late(self, context: ServingContext, results: StageResults) -> bool:
        """Returns whether a request can't be on time even among the hopeful."""
        way_ms = max(
            (
                self._dispatch.backlog(
                    context.route.stages[number].service
                ).feasible_ms
                + self._stage_ms(context, results, number)
                + self._rest_ms(context, results, number)
                for number in results.present()
            ),
            default=0.0,
        )
        return self._clock.now() + way_ms > context.objective_at

    def _behind_ms(
        self, context: ServingContext, results: StageResults
    ) -> float:
        return max(
            (
                self._dispatch.backlog(
                    context.route.stages[number].service
                ).all_ms
                for number in results.present()
            ),
            default=0.0,
        )

    def inputs_by_data_centre(
        self, context: ServingContext, results: StageResults
    ) -> dict[str, float]:
        """Returns where the bytes lie that a request's engine will fetch."""
        found: dict[str, float] = {}
        for number in results.last():
            size = context.route.stages[number].result_bytes
            for handle in results.made.get(number, ()):
                where = self._dispatch.data_centre_of(handle)
                found[where] = found.get(where, 0.0) + size
        return found

    def free(self, context: ServingContext, results: StageResults) -> None:
        """Frees all results of a request."""
        for number, handles in results.made.items():
            if number not in results.used:
                service = context.route.stages[number].service
                self._dispatch.free(service, handles)
        for number, pieces in results.partly_made.items():
            service = context.route.stages[number].service
            self._dispatch.free(service, list(pieces.values()))
        results.made.clear()
        results.used.clear()
        results.partly_made.clear()

    def _forget_inputs(
        self, context: ServingContext, results: StageResults, number: int
    ) -> None:
        """Has the inputs of a stage made again, as one of them is gone.

        It died with its maker, or was freed before a piece failed. Which one is
        gone isn't told; what they were made from is made again where it was
        freed. Results that the stage has stay.
        """
        for before in results.inputs_of(number):
            handles = results.made.pop(before, None)
            if handles is None:
                continue
            if before in results.used:
                results.used.discard(before)
            else:
                service = context.route.stages[before].service
                self._dispatch.free(service, handles)
            if any(n in results.used for n in results.inputs_of(before)):
                self._forget_inputs(context, results, before)

    def _free_used(
        self, context: ServingContext, results: StageResults
    ) -> None:
        """Frees results whose every user has its own result by now.

        Kept until the request is answered they would fill their makers'
        memory: seen as calls for a quarter of a batch, queues that grew by the
        thousand and never shrank.
        """
        needed = set(results.last())
        for number in results.present():
            if number not in results.made:
                needed.update(results.inputs_of(number))
        for number in set(results.made) - needed - results.used:
            service = context.route.stages[number].service
            self._dispatch.free(service, results.made[number])
            results.used.add(number)

    async def _run_missing(
        self, context: ServingContext, results: StageResults
    ) -> Result[None, Failure]:
        done = {n: anyio.Event() for n in results.present()}
        failures: list[Failure] = []
        async with anyio.create_task_group() as tasks:

            async def run_one(number: int) -> None:
                for before in results.inputs_of(number):
                    await done[before].wait()
                for before in self._starts_after(context, results, number):
                    await done[before].wait()
                if number not in results.made:
                    last_uses = self._last_uses(results, number)
                    answer = await self._run_stage(
                        context, results, number, last_uses
                    )
                    if isinstance(answer, Err):
                        failures.append(answer.err_value)
                        tasks.cancel_scope.cancel()
                        return
                    if not self._take_made(results, number, answer.ok_value):
                        failures.append(_inputs_gone(context, number))
                        tasks.cancel_scope.cancel()
                        return
                    if answer.ok_value.inputs_freed:
                        results.used.update(last_uses)
                done[number].set()
                self._free_used(context, results)

            for number in results.present():
                tasks.start_soon(run_one, number)
        return Err(failures[0]) if failures else Ok(None)

    async def _run_stage(
        self,
        context: ServingContext,
        results: StageResults,
        number: int,
        last_uses: Sequence[int],
    ) -> Result[StageMade, Failure]:
        request = context.request
        stage = context.route.stages[number]
        before = results.inputs_of(number)
        inputs = tuple(h for n in before for h in results.made[n])
        pieces = tuple(
            Piece(
                request_id=request.request_id,
                stage=number,
                number=piece,
                key="" if before else request.piece_key,
                inputs=inputs,
            )
            for piece in range(results.count(number))
            if piece not in results.partly_made.get(number, {})
        )
        now = self._clock.now()
        rest_ms = self._rest_ms(context, results, number)
        context.pending_stages.add(number)
        answer = await self._dispatch.make(
            StageWork(
                service=stage.service,
                name=f"{request.request_id}/{number}/{now:.0f}",
                pieces=pieces,
                needed_in_ms=context.objective_at - rest_ms - now,
                ends_in_ms=context.first_by - rest_ms - now,
                priority=context.priority,
                result_bytes=stage.result_bytes,
                may_refuse=not results.made,
                moved_bytes=self._moved_bytes(context, results, number),
                data_centre="" if before else results.data_centre,
                again=bool(results.partly_made),
                last_use_of=tuple(
                    StageInputs(
                        service=context.route.stages[n].service,
                        handles=tuple(results.made[n]),
                    )
                    for n in last_uses
                ),
            )
        )
        handles = answer.ok_value.handles if isinstance(answer, Ok) else ()
        made = sum(1 for handle in handles if handle)
        context.note_stage(number, self._clock.now() - now, made)
        return answer

    def _take_made(
        self, results: StageResults, number: int, made: StageMade
    ) -> bool:
        """Takes what was made of a stage; returns whether that is all."""
        known = results.partly_made.pop(number, {})
        missing = [n for n in range(results.count(number)) if n not in known]
        new = dict(zip(missing, made.handles, strict=True))
        pieces = known | {n: handle for n, handle in new.items() if handle}
        if len(pieces) < results.count(number):
            results.partly_made[number] = pieces
            return False
        results.made[number] = [pieces[n] for n in range(len(pieces))]
        return True

    def _last_uses(self, results: StageResults, number: int) -> list[int]:
        """Returns the stages whose results only a stage still needs."""
        needed = set(results.last())
        for other in results.present():
            if other != number and other not in results.made:
                needed.update(results.inputs_of(other))
        return [
            n
            for n in results.inputs_of(number)
            if n not in needed and n not in results.used
        ]

    def _starts_after(
        self, context: ServingContext, results: StageResults, number: int
    ) -> list[int]:
        """Returns the stages whose end a stage waits for, without need.

        The results of a short branch would lie in their makers' scarce memory
        until the longest branch is done. It begins so late that it should
        still be done sooner, with as much again for a queue.
        """
        last = results.last()
        if number not in last or len(last) == 1 or results.inputs_of(number):
            return []
        own_ms = BRANCH_MARGIN * self._stage_ms(context, results, number)
        waits: list[int] = []
        for other in results.present():
            if other == number:
                continue
            left_ms = self._rest_ms(context, results, other)
            if left_ms - ANSWER_MARGIN_MS > own_ms:
                waits.append(other)
        return waits

    async def _engine_data_centre(
        self, context: ServingContext, results: StageResults
    ) -> str:
        """Returns where the request's engine is likely to stand.

        Asked only where results are so large that carrying them between data
        centres costs more than the question.
        """
        generation = context.request.generation
        largest = max(
            (context.route.stages[n].result_bytes for n in results.last()),
            default=0.0,
        )
        if generation is None or largest < LARGE_TRANSFER_BYTES:
            return ""
        return await self._dispatch.locate(context.service, generation)

    def _moved_bytes(
        self, context: ServingContext, results: StageResults, number: int
    ) -> float:
        """Returns what a piece fetches, or what is fetched of a first one."""
        stages = context.route.stages
        before = results.inputs_of(number)
        if not before:
            return stages[number].result_bytes
        return sum(results.count(n) * stages[n].result_bytes for n in before)

    def _rest_ms(
        self, context: ServingContext, results: StageResults, number: int
    ) -> float:
        """Returns about how long the request takes after a stage."""
        later = [
            self._stage_ms(context, results, n)
            + self._rest_ms(context, results, n)
            for n in results.present()
            if number in results.inputs_of(n)
        ]
        if later:
            return max(later)
        return ANSWER_MARGIN_MS + _reading_ms(context)

    def _stage_ms(
        self, context: ServingContext, results: StageResults, number: int
    ) -> float:
        configuration = self._deployment.configuration
        service = context.route.stages[number].service
        spec = configuration.services.get(service) if configuration else None
        if spec is None or spec.batching is None:
            return 0.0
        pieces = min(results.count(number), spec.batching.batch)
        call_ms = spec.batching.call_ms + pieces * spec.batching.piece_ms
        return WAIT_FACTOR * call_ms


def _reading_ms(context: ServingContext) -> float:
    """Returns about how long an engine reads what is the request's own."""
    generation = context.request.generation
    if generation is None or not generation.parts:
        return 0.0
    return generation.parts[-1].tokens * MS_PER_TOKEN


def _inputs_gone(context: ServingContext, number: int) -> Failure:
    service = context.route.stages[number].service
    return Failure(
        kind=FailureKind.STAGE_INPUT_GONE,
        detail=f"an input of a piece of {service} is gone",
        retry_after_ms=LEAST_RETRY_AFTER_MS,
    )


def _lost_inputs(answer: Result[None, Failure]) -> bool:
    return isinstance(answer, Err) and (
        answer.err_value.kind is FailureKind.STAGE_INPUT_GONE
    )
