"""Runs the graph of stages whose results a request needs as inputs."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

import anyio
import attrs
from result import Err, Ok, Result

from cactusdyke.errors import Failure, FailureKind
from cactusdyke.serving.dialect import Piece
from cactusdyke.serving.dispatch_messages import (
    StageInputs,
    StageOutcome,
    StageWork,
)
from cactusdyke.serving.return_questions import ReturnQuestion
from cactusdyke.serving.stage_capacity import most_pieces, pieces_at_once
from cactusdyke.serving.stage_locality import LARGE_TRANSFER_BYTES

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cactusdyke.clock import Clock
    from cactusdyke.serving.deployment import Deployment
    from cactusdyke.serving.dispatch import Dispatch
    from cactusdyke.serving.model import BatchSpec, StageSpec
    from cactusdyke.serving.request import ServingContext
    from cactusdyke.serving.return_questions import (
        ReturnAnswer,
        ReturnQuestions,
    )

MIN_RETRY_AFTER_MS = 200
"""About the time of one call; memory is not freed any sooner than that."""
MAX_RETRY_AFTER_MS = 3_000.0
LATE_HOLD_MS = 2_500.0
"""How long a late request is held back before it is refused. The queues that
build up while all daemons are lost take about two seconds to drain."""
LATE_BACKLOG_MS = 800.0
"""The time of two to three calls. With a shorter backlog the results of a late
request are used soon after they are computed."""
CHECK_INTERVAL_MS = 120.0
MAX_RECOMPUTATIONS = 2
"""How often lost inputs are recomputed for one request."""
ANSWER_MARGIN_MS = 60.0
"""Time from the last stage's result to the first token, without the prefill."""
BRANCH_MARGIN = 1.6
"""A shorter branch starts early enough to take this many times its usual time
and still end with the longest one; the surplus covers time in a queue."""
UNCERTAIN_BACKLOG_MS = 150.0
"""Queueing delay from which the end of a stage cannot be foretold."""
PREFILL_MS_PER_TOKEN = 0.02
"""Estimated prefill time of a prompt token that is in no engine's cache."""
WAIT_FACTOR = 1.5
"""A piece arrives in the middle of a replica's call and waits half a call on
average. If the estimate leaves that wait out, pieces that are scheduled just in
time end late, under overload every one of them."""


class StageResults:
    """The results that one request's stages have computed so far."""

    def __init__(self, context: ServingContext) -> None:
        self._context = context
        self._handles: dict[int, list[str]] = {}
        self.data_centre = ""
        """Data centre of the engine that is likely to fetch the results."""
        self.freed_stages: set[int] = set()
        """Stages whose results were freed because no other stage needs them."""
        self.partial_handles: dict[int, dict[int, str]] = {}
        """Handles by stage and piece, of stages that have only part of their
        results because inputs of the other pieces were gone."""

    @property
    def handles_by_stage(self) -> dict[int, list[str]]:
        """Handles of the results, by stage."""
        return self._handles

    @property
    def complete(self) -> bool:
        """Whether all results that the request itself needs are there."""
        held = self._handles.keys() - self.freed_stages
        return held >= set(self.final_stages())

    def take(self, other: StageResults) -> None:
        """Takes over the results of another object, which has none then."""
        self._handles, other._handles = other._handles, {}
        self.data_centre = other.data_centre
        self.freed_stages, other.freed_stages = other.freed_stages, set()
        self.partial_handles, other.partial_handles = other.partial_handles, {}

    def input_stages(self, number: int) -> list[int]:
        """Returns the stages whose results are a stage's inputs.

        A stage without pieces in this request is replaced by its own inputs.
        """
        found: list[int] = []
        for predecessor in self._stages[number].after:
            present = self.piece_count(predecessor) > 0
            found.extend(
                [predecessor] if present else self.input_stages(predecessor)
            )
        return list(dict.fromkeys(found))

    def final_stages(self) -> list[int]:
        """Returns the stages whose results the request itself needs."""
        followed = {
            predecessor
            for number in self.active_stages()
            for predecessor in self.input_stages(number)
        }
        return [n for n in self.active_stages() if n not in followed]

    def active_stages(self) -> list[int]:
        """Returns the stages that have pieces in this request."""
        return [n for n in range(len(self._stages)) if self.piece_count(n) > 0]

    def piece_count(self, number: int) -> int:
        """Returns how many pieces of a stage the request has."""
        counts = self._context.request.piece_counts
        return counts[number] if number < len(counts) else 0

    @property
    def _stages(self) -> tuple[StageSpec, ...]:
        return self._context.route.stages


class StageRunner:
    """Computes the inputs of requests, independent stages concurrently."""

    def __init__(
        self,
        *,
        clock: Clock,
        rng: random.Random,
        dispatch: Dispatch,
        deployment: Deployment,
        returns: ReturnQuestions,
    ) -> None:
        self._clock = clock
        self._returns = returns
        self._rng = rng
        self._dispatch = dispatch
        self._deployment = deployment

    async def run(
        self, context: ServingContext, results: StageResults
    ) -> Result[list[str], Failure]:
        """Runs the stages that have no results yet.

        Returns:
            The handles of the results that the request itself needs.
        """
        refusal = self._impossible_refusal(context, results)
        if refusal is not None:
            return Err(refusal)
        refusal = self._early_refusal(context, results)
        if refusal is not None:
            refusal = await self._with_return_time(context, results, refusal)
        else:
            refusal = await self._hold_back_if_late(context, results)
        if refusal is not None:
            return Err(refusal)
        results.data_centre = await self._engine_data_centre(context, results)
        for _ in range(MAX_RECOMPUTATIONS):
            answer = await self._run_remaining(context, results)
            if not _is_input_gone(answer):
                break
            for number in tuple(results.partial_handles):
                self._discard_inputs(context, results, number)
            refusal = await self._hold_back_if_late(context, results)
            if refusal is not None:
                return Err(refusal)
        else:
            answer = await self._run_remaining(context, results)
        if isinstance(answer, Err):
            return answer
        return Ok(
            [
                h
                for n in results.final_stages()
                for h in results.handles_by_stage[n]
            ]
        )

    def _impossible_refusal(
        self, context: ServingContext, results: StageResults
    ) -> Failure | None:
        """Returns a refusal if no queue is short enough to serve the request.

        It is decided from numbers alone, before anything is made of a piece.
        """
        if results.handles_by_stage:
            return None
        left_ms = context.start_deadline_at - self._clock.now()
        for number in results.active_stages():
            stage = context.route.stages[number]
            batching = self._batching(stage.service)
            if batching is None:
                continue
            most = most_pieces(
                stage,
                batching,
                replica_count=self._deployment.replica_count(stage.service),
                within_ms=left_ms,
            )
            if results.piece_count(number) > most:
                return Failure(
                    kind=FailureKind.TOO_MUCH_WORK,
                    detail=f"{stage.service} computes {most:.0f} pieces at most"
                    f" in the {left_ms:.0f} ms that are left",
                )
        return None

    def _early_refusal(
        self, context: ServingContext, results: StageResults
    ) -> Failure | None:
        """Returns a refusal if the request can't meet its start deadline.

        If it started, it would use capacity of the first stages and be
        abandoned seconds later in the queue of the bottleneck stage.
        """
        if results.handles_by_stage:
            return None
        wait_ms = 0.0
        total_ms = 0.0
        for number in results.active_stages():
            service = context.route.stages[number].service
            backlog = self._dispatch.backlog(service)
            wait_ms = max(wait_ms, backlog.all_ms)
            total_ms = max(
                total_ms,
                backlog.all_ms
                + self._stage_ms(context, results, number)
                + self._ms_after(context, results, number),
            )
        left_ms = context.start_deadline_at - self._clock.now()
        if total_ms <= left_ms:
            return None
        return self._overloaded(wait_ms)

    async def _with_return_time(
        self, context: ServingContext, results: StageResults, refusal: Failure
    ) -> Failure | None:
        """Asks the decider with the longest backlog when a caller returns.

        Returns:
            The refusal, with the decider's time if it answers; None if the
            request has returned at its reserved time and is not refused.
        """
        answer = await self._ask_return_time(context, results)
        if answer is None:
            return refusal
        if answer.due:
            return None
        in_ms = answer.in_ms
        if not answer.reserved:
            in_ms = min(MAX_RETRY_AFTER_MS, in_ms)
        return attrs.evolve(refusal, retry_after_ms=math.ceil(in_ms))

    async def _ask_return_time(
        self, context: ServingContext, results: StageResults
    ) -> ReturnAnswer | None:
        if context.may_have_run or not results.active_stages():
            return None
        stages = context.route.stages
        number = max(
            results.active_stages(),
            key=lambda n: self._dispatch.backlog(stages[n].service).all_ms,
        )
        return await self._returns.ask(
            ReturnQuestion(
                service=stages[number].service,
                digest=context.digest,
                pieces=results.piece_count(number),
                priority=context.priority,
                caller_left_ms=context.remaining_ms(self._clock),
            )
        )

    def _overloaded(self, wait_ms: float) -> Failure:
        spread = self._rng.uniform(0.7, 1.3)
        return Failure(
            kind=FailureKind.OVERLOADED,
            detail=f"stages are busy for {wait_ms:.0f} ms, longer than the"
            " request can wait",
            retry_after_ms=int(min(MAX_RETRY_AFTER_MS, wait_ms * spread)),
        )

    async def _hold_back_if_late(
        self, context: ServingContext, results: StageResults
    ) -> Failure | None:
        """Delays the start of a late request while its stages have a backlog.

        If it started, its results would take replicas' memory while requests
        that can still meet their objective go first; they would expire there
        and have to be recomputed.

        Returns:
            A refusal if the backlog lasts too long, else None.
        """
        refuse_at = self._clock.now() + LATE_HOLD_MS
        refusal: Failure | None = None
        while not results.handles_by_stage and self._is_late(context, results):
            backlog_ms = self._backlog_ms(context, results)
            if backlog_ms <= LATE_BACKLOG_MS:
                return None
            # A caller that returns is late for its objective as a rule, and its
            # reservation would end while it is held back.
            if self._clock.now() >= refuse_at or (
                context.waited_ms and refusal is None
            ):
                refusal = await self._with_return_time(
                    context, results, self._overloaded(backlog_ms)
                )
                if refusal is None or self._clock.now() >= refuse_at:
                    return refusal
            await self._clock.sleep(
                CHECK_INTERVAL_MS * self._rng.uniform(0.7, 1.3)
            )
        return None

    def _is_late(self, context: ServingContext, results: StageResults) -> bool:
        """Returns whether a request will miss its objective.

        Only the backlog of requests that can still meet theirs is counted.
        """
        total_ms = max(
            (
                self._dispatch.backlog(
                    context.route.stages[number].service
                ).feasible_ms
                + self._stage_ms(context, results, number)
                + self._ms_after(context, results, number)
                for number in results.active_stages()
            ),
            default=0.0,
        )
        return self._clock.now() + total_ms > context.objective_at

    def _backlog_ms(
        self, context: ServingContext, results: StageResults
    ) -> float:
        return max(
            (
                self._dispatch.backlog(
                    context.route.stages[number].service
                ).all_ms
                for number in results.active_stages()
            ),
            default=0.0,
        )

    def input_bytes_by_data_centre(
        self, context: ServingContext, results: StageResults
    ) -> dict[str, float]:
        """Returns the bytes that the engine will fetch, by data centre."""
        found: dict[str, float] = {}
        for number in results.final_stages():
            size = context.route.stages[number].result_bytes
            for handle in results.handles_by_stage.get(number, ()):
                data_centre = self._dispatch.data_centre_of(handle)
                found[data_centre] = found.get(data_centre, 0.0) + size
        return found

    def free(self, context: ServingContext, results: StageResults) -> None:
        """Frees all results of a request."""
        for number, handles in results.handles_by_stage.items():
            if number not in results.freed_stages:
                service = context.route.stages[number].service
                self._dispatch.free(service, handles)
        for number, pieces in results.partial_handles.items():
            service = context.route.stages[number].service
            self._dispatch.free(service, list(pieces.values()))
        results.handles_by_stage.clear()
        results.freed_stages.clear()
        results.partial_handles.clear()

    def _discard_inputs(
        self, context: ServingContext, results: StageResults, number: int
    ) -> None:
        """Discards the inputs of a stage so that they are recomputed.

        Called when one of them is gone: its replica has stopped, or it was
        freed before a piece failed. The failure does not say which one, so all
        are discarded, and in turn their own inputs where these were freed.
        Results that the stage already has are kept.
        """
        for predecessor in results.input_stages(number):
            handles = results.handles_by_stage.pop(predecessor, None)
            if handles is None:
                continue
            if predecessor in results.freed_stages:
                results.freed_stages.discard(predecessor)
            else:
                service = context.route.stages[predecessor].service
                self._dispatch.free(service, handles)
            if any(
                n in results.freed_stages
                for n in results.input_stages(predecessor)
            ):
                self._discard_inputs(context, results, predecessor)

    def _free_unneeded(
        self, context: ServingContext, results: StageResults
    ) -> None:
        """Frees results once all stages that use them have theirs.

        If they were kept until the request is answered, they would fill the
        replicas' memory: calls then run with a quarter of a batch, and queues
        grow by thousands of pieces and never shrink.
        """
        needed = set(results.final_stages())
        for number in results.active_stages():
            if number not in results.handles_by_stage:
                needed.update(results.input_stages(number))
        for number in (
            set(results.handles_by_stage) - needed - results.freed_stages
        ):
            service = context.route.stages[number].service
            self._dispatch.free(service, results.handles_by_stage[number])
            results.freed_stages.add(number)

    async def _run_remaining(
        self, context: ServingContext, results: StageResults
    ) -> Result[None, Failure]:
        done = {n: anyio.Event() for n in results.active_stages()}
        failures: list[Failure] = []
        async with anyio.create_task_group() as tasks:

            async def run_one(number: int) -> None:
                for predecessor in results.input_stages(number):
                    await done[predecessor].wait()
                for predecessor in self._stages_to_wait_for(
                    context, results, number
                ):
                    await done[predecessor].wait()
                if number not in results.handles_by_stage:
                    last_used = self._stages_last_used_by(results, number)
                    answer = await self._run_stage(
                        context, results, number, last_used
                    )
                    if isinstance(answer, Err):
                        failures.append(answer.err_value)
                        tasks.cancel_scope.cancel()
                        return
                    if not self._merge_outcome(
                        results, number, answer.ok_value
                    ):
                        failures.append(_input_gone_failure(context, number))
                        tasks.cancel_scope.cancel()
                        return
                    if answer.ok_value.inputs_freed:
                        results.freed_stages.update(last_used)
                done[number].set()
                self._free_unneeded(context, results)

            for number in results.active_stages():
                tasks.start_soon(run_one, number)
        return Err(failures[0]) if failures else Ok(None)

    async def _run_stage(
        self,
        context: ServingContext,
        results: StageResults,
        number: int,
        last_used: Sequence[int],
    ) -> Result[StageOutcome, Failure]:
        """Computes the missing pieces of a stage, some of them at a time."""
        began_at = self._clock.now()
        context.pending_stages.add(number)
        handles: list[str] = []
        try:
            answer = await self._compute_missing(
                context, results, number, last_used, handles
            )
        except BaseException:
            self._free_computed(context, number, handles)
            raise
        context.record_stage(
            number,
            self._clock.now() - began_at,
            sum(1 for handle in handles if handle),
        )
        if isinstance(answer, Err):
            self._free_computed(context, number, handles)
            return answer
        return Ok(
            StageOutcome(handles=tuple(handles), inputs_freed=answer.ok_value)
        )

    async def _compute_missing(
        self,
        context: ServingContext,
        results: StageResults,
        number: int,
        last_used: Sequence[int],
        handles: list[str],
    ) -> Result[bool, Failure]:
        """Adds the handles of a stage's missing pieces to a list, in order.

        Returns:
            Whether the inputs were freed.
        """
        inputs = tuple(
            h
            for n in results.input_stages(number)
            for h in results.handles_by_stage[n]
        )
        partial = results.partial_handles.get(number, {})
        missing = (
            n for n in range(results.piece_count(number)) if n not in partial
        )
        missing_count = results.piece_count(number) - len(partial)
        inputs_freed = False
        while len(handles) < missing_count:
            pieces = tuple(
                self._piece(context, number, piece, inputs)
                for piece in itertools.islice(
                    missing, pieces_at_once(len(inputs))
                )
            )
            is_last = len(handles) + len(pieces) == missing_count
            answer = await self._compute_pieces(
                context,
                results,
                number,
                pieces,
                may_refuse=not results.handles_by_stage and not handles,
                last_used=last_used if is_last else (),
            )
            if isinstance(answer, Err):
                return answer
            handles.extend(answer.ok_value.handles)
            inputs_freed = answer.ok_value.inputs_freed
            if not answer.ok_value.complete:
                handles.extend([""] * (missing_count - len(handles)))
        return Ok(inputs_freed)

    def _free_computed(
        self, context: ServingContext, number: int, handles: Sequence[str]
    ) -> None:
        service = context.route.stages[number].service
        self._dispatch.free(service, [handle for handle in handles if handle])

    def _piece(
        self,
        context: ServingContext,
        stage: int,
        number: int,
        inputs: tuple[str, ...],
    ) -> Piece:
        request = context.request
        return Piece(
            request_id=request.request_id,
            stage=stage,
            number=number,
            key="" if inputs else request.piece_key,
            inputs=inputs,
        )

    async def _compute_pieces(
        self,
        context: ServingContext,
        results: StageResults,
        number: int,
        pieces: tuple[Piece, ...],
        *,
        may_refuse: bool,
        last_used: Sequence[int],
    ) -> Result[StageOutcome, Failure]:
        request = context.request
        stage = context.route.stages[number]
        predecessors = results.input_stages(number)
        now = self._clock.now()
        ms_after = self._ms_after(context, results, number)
        return await self._dispatch.compute_stage(
            StageWork(
                service=stage.service,
                name=f"{request.request_id}/{number}/{now:.0f}"
                f"/{pieces[0].number}",
                pieces=pieces,
                objective_in_ms=context.objective_at - ms_after - now,
                deadline_in_ms=context.start_deadline_at - ms_after - now,
                priority=context.priority,
                result_bytes=stage.result_bytes,
                may_refuse=may_refuse,
                transfer_bytes=self._transfer_bytes(context, results, number),
                data_centre="" if predecessors else results.data_centre,
                repeated=bool(results.partial_handles),
                customer=context.customer_name,
                digest="" if context.may_have_run else context.digest,
                caller_left_ms=context.caller_waits_until - now,
                last_use_of=tuple(
                    StageInputs(
                        service=context.route.stages[n].service,
                        handles=tuple(results.handles_by_stage[n]),
                    )
                    for n in last_used
                ),
            )
        )

    def _merge_outcome(
        self, results: StageResults, number: int, outcome: StageOutcome
    ) -> bool:
        """Stores the results of a stage.

        Returns:
            Whether every piece of the stage now has its result.
        """
        partial = results.partial_handles.pop(number, {})
        missing = [
            n for n in range(results.piece_count(number)) if n not in partial
        ]
        new = dict(zip(missing, outcome.handles, strict=True))
        pieces = partial | {n: handle for n, handle in new.items() if handle}
        if len(pieces) < results.piece_count(number):
            results.partial_handles[number] = pieces
            return False
        results.handles_by_stage[number] = [
            pieces[n] for n in range(len(pieces))
        ]
        return True

    def _stages_last_used_by(
        self, results: StageResults, number: int
    ) -> list[int]:
        """Returns the input stages whose results no other stage needs."""
        needed = set(results.final_stages())
        for other in results.active_stages():
            if other != number and other not in results.handles_by_stage:
                needed.update(results.input_stages(other))
        return [
            n
            for n in results.input_stages(number)
            if n not in needed and n not in results.freed_stages
        ]

    def _stages_to_wait_for(
        self, context: ServingContext, results: StageResults, number: int
    ) -> list[int]:
        """Returns stages that a stage waits for without using their results.

        The results of a short branch would occupy scarce memory of replicas
        until the longest branch ends. The short branch therefore starts late,
        but early enough to end before the longest one by `BRANCH_MARGIN`. It
        waits for stages that have a backlog, as the longest branch may be
        refused there, or end much later than it usually does.
        """
        last = results.final_stages()
        if number not in last or len(last) == 1 or results.input_stages(number):
            return []
        own_ms = BRANCH_MARGIN * self._stage_ms(context, results, number)
        waits: list[int] = []
        for other in results.active_stages():
            if other == number:
                continue
            remaining_ms = self._ms_after(context, results, other)
            in_time = remaining_ms - ANSWER_MARGIN_MS <= own_ms
            if not in_time or (
                other not in last and self._has_backlog(context, other)
            ):
                waits.append(other)
        return waits

    def _has_backlog(self, context: ServingContext, number: int) -> bool:
        service = context.route.stages[number].service
        return self._dispatch.backlog(service).total_ms > UNCERTAIN_BACKLOG_MS

    async def _engine_data_centre(
        self, context: ServingContext, results: StageResults
    ) -> str:
        """Returns the data centre of the request's likely engine.

        It is looked up only for results so large that their transfer between
        data centres costs more than the lookup; otherwise it is empty.
        """
        generation = context.request.generation
        largest = max(
            (
                context.route.stages[n].result_bytes
                for n in results.final_stages()
            ),
            default=0.0,
        )
        if generation is None or largest < LARGE_TRANSFER_BYTES:
            return ""
        return await self._dispatch.locate(context.service, generation)

    def _transfer_bytes(
        self, context: ServingContext, results: StageResults, number: int
    ) -> float:
        """Returns the bytes that move if a piece runs in another data centre.

        These are its inputs, or its result for a stage without inputs.
        """
        stages = context.route.stages
        predecessors = results.input_stages(number)
        if not predecessors:
            return stages[number].result_bytes
        return sum(
            results.piece_count(n) * stages[n].result_bytes
            for n in predecessors
        )

    def _ms_after(
        self, context: ServingContext, results: StageResults, number: int
    ) -> float:
        """Estimates the time from the end of a stage to the first token."""
        later = [
            self._stage_ms(context, results, n)
            + self._ms_after(context, results, n)
            for n in results.active_stages()
            if number in results.input_stages(n)
        ]
        if later:
            return max(later)
        return ANSWER_MARGIN_MS + _prefill_ms(context)

    def _stage_ms(
        self, context: ServingContext, results: StageResults, number: int
    ) -> float:
        batching = self._batching(context.route.stages[number].service)
        if batching is None:
            return 0.0
        pieces = min(results.piece_count(number), batching.batch)
        return WAIT_FACTOR * batching.expected_call_ms(pieces)

    def _batching(self, service: str) -> BatchSpec | None:
        spec = self._deployment.service(service)
        return spec.batching if spec else None


def _prefill_ms(context: ServingContext) -> float:
    """Estimates the prefill time of a prompt of which nothing is cached.

    Under overload stages end as late as this estimate allows. If it left out
    the shared parts, each request whose engine has to read them would be late.
    """
    generation = context.request.generation
    if generation is None:
        return 0.0
    tokens = sum(part.tokens for part in generation.parts)
    return tokens * PREFILL_MS_PER_TOKEN


def _input_gone_failure(context: ServingContext, number: int) -> Failure:
    service = context.route.stages[number].service
    return Failure(
        kind=FailureKind.STAGE_INPUT_GONE,
        detail=f"an input of a piece of {service} is gone",
        retry_after_ms=MIN_RETRY_AFTER_MS,
    )


def _is_input_gone(answer: Result[None, Failure]) -> bool:
    return isinstance(answer, Err) and (
        answer.err_value.kind is FailureKind.STAGE_INPUT_GONE
    )
