"""Selects the engines of a generation from the local view of the cluster."""

from collections.abc import Callable

from waxwingwinch._types import EngineRole, UpstreamId
from waxwingwinch.gateway._admission import Admit, Refuse, admit_generation
from waxwingwinch.gateway._arrivals import Arrivals
from waxwingwinch.gateway._attempt_permits import AttemptPermits
from waxwingwinch.gateway._attempts import shared_part_ids
from waxwingwinch.gateway._candidates import engine_options
from waxwingwinch.gateway._job import Job, Progress, RelayContext
from waxwingwinch.gateway._outcomes import RefusalReason, RequestEnded
from waxwingwinch.gateway._permits import NoPermit
from waxwingwinch.gateway._placement import (
    EngineOption,
    Placement,
    PromptSize,
    RunDirectly,
    RunSplit,
    place_prompt,
)
from waxwingwinch.gateway._plain_relay import may_attempt
from waxwingwinch.gateway._request_log_lines import AdmissionRefused, RequestPlaced
from waxwingwinch.gateway._requests import Prompt
from waxwingwinch.gateway._retry_payments import charge_calls
from waxwingwinch.gateway._telemetry import CounterName
from waxwingwinch.gateway._upstreams import Upstream


class EngineChooser:
    """
    Places generations and refuses those that would miss their latency limits.

    :param context: Dependencies shared by the relays of the process.
    """

    def __init__(self, context: RelayContext) -> None:
        self._context = context

    def choose(
        self,
        job: Job,
        prompt: Prompt,
        progress: Progress,
        permits: AttemptPermits,
        now_seconds: float,
    ) -> tuple[Placement | NoPermit | None, Progress]:
        """
        Choose the engines for a generation or for a retry of it.

        :param job: The request.
        :param prompt: The declared prompt of the request.
        :param progress: The attempts made so far.
        :param permits: Receives the permits of this attempt.
        :param now_seconds: Monotonic time.
        :returns: The placement, and the progress with the charge for its
            calls; None if no engine is usable or no attempt is allowed.
        :raises RequestEnded: If admission control refuses the request.
        """
        if not may_attempt(job, progress, now_seconds):
            return None, progress
        options = self._options(job, prompt, progress, now_seconds)
        placement = self._admit_and_place(
            job, prompt, progress, permits, options, now_seconds
        )
        if placement is None or isinstance(placement, NoPermit):
            return placement, progress
        planned = _planned_arrivals(progress, placement)
        charged = charge_calls(self._context, job, progress, planned, now_seconds)
        if charged is None:
            return None, progress
        self._context.telemetry.count(CounterName.PLACEMENTS, type(placement).__name__)
        RequestPlaced(
            request_id=job.request.request_id,
            route=job.route.name,
            entries_age_seconds=self._context.directory.age_seconds(now_seconds),
            prompt_tokens=prompt.input_tokens,
            placement=repr(placement),
            engines=len(options),
            parts=shared_part_ids(job),
        ).write()
        return placement, charged

    def decode_engine(
        self,
        job: Job,
        prompt: Prompt,
        progress: Progress,
        permits: AttemptPermits,
        chosen_id: UpstreamId,
    ) -> tuple[Upstream | None, Progress]:
        """
        Choose the engine that fetches a prefilled KV cache.

        It is the engine of the placement, or another if that one takes no new
        work any more or was tried before.

        :param job: The request.
        :param prompt: The declared prompt of the request.
        :param progress: The attempts made so far.
        :param permits: The permits of this attempt.
        :param chosen_id: The engine chosen for the decode phase.
        :returns: The engine, and the progress with the charge for its call;
            None if no engine is usable or no attempt is allowed.
        """
        now_seconds = self._context.clock.now_seconds()
        if not may_attempt(job, progress, now_seconds):
            return None, progress
        engine = self._usable_decode_engine(
            job, prompt, progress, permits, chosen_id, now_seconds
        )
        if engine is None:
            return None, progress
        planned = progress.arrivals.with_call()
        charged = charge_calls(self._context, job, progress, planned, now_seconds)
        if charged is None:
            return None, progress
        return engine, charged

    def _usable_decode_engine(
        self,
        job: Job,
        prompt: Prompt,
        progress: Progress,
        permits: AttemptPermits,
        chosen_id: UpstreamId,
        now_seconds: float,
    ) -> Upstream | None:
        if chosen_id not in progress.excluded:
            chosen = self._context.directory.ready(
                chosen_id, now_seconds, job.homes.zones()
            )
            if chosen is not None and permits.acquire(chosen) is None:
                return chosen
        options = self._options(job, prompt, progress, now_seconds)
        decode_engines = [option for option in options if _can_decode(option)]
        placement = self._place_with_permits(
            job, prompt, permits, decode_engines, lambda _: None
        )
        if not isinstance(placement, RunDirectly):
            return None
        return self._context.directory.ready(
            placement.upstream_id, now_seconds, job.homes.zones()
        )

    def _admit_and_place(
        self,
        job: Job,
        prompt: Prompt,
        progress: Progress,
        permits: AttemptPermits,
        options: list[EngineOption],
        now_seconds: float,
    ) -> Placement | NoPermit | None:
        """Place a prompt, and admit it unless it was admitted before."""
        is_admitted = progress.was_placed

        def admit(placement: Placement) -> None:
            if not is_admitted:
                self._admit(job, placement, len(options), now_seconds)

        return self._place_with_permits(job, prompt, permits, options, admit)

    def _place_with_permits(
        self,
        job: Job,
        prompt: Prompt,
        permits: AttemptPermits,
        options: list[EngineOption],
        admit: Callable[[Placement], None],
    ) -> Placement | NoPermit | None:
        """Place a prompt at engines whose limits, if any, have room."""
        size = _prompt_size(job, prompt)
        refused: dict[UpstreamId, NoPermit] = {}
        remaining = options
        while placement := place_prompt(size, remaining, self._context.zone):
            admit(placement)
            refusal = self._acquire_permits(placement, permits)
            if refusal is None:
                return placement
            refused[refusal.upstream_id] = refusal
            remaining = [
                option for option in options if option.upstream_id not in refused
            ]
        candidates = [
            option
            for option in options
            if _can_decode(option) and option.upstream_id in refused
        ]
        if not candidates:
            return None
        soonest = min(
            candidates, key=lambda option: refused[option.upstream_id].wait_seconds
        )
        refusal = self._acquire_permit(soonest.upstream_id, permits, is_last=True)
        if refusal is not None:
            return refusal
        placement = place_prompt(size, [soonest], self._context.zone)
        if placement is not None:
            admit(placement)
        return placement

    def _acquire_permits(
        self, placement: Placement, permits: AttemptPermits
    ) -> NoPermit | None:
        """Obtain the permits for the engines of a placement."""
        match placement:
            case RunDirectly(engine_id):
                engine_ids = [engine_id]
            case RunSplit(prefill_id, decode_id):
                engine_ids = [decode_id, prefill_id]
        for engine_id in engine_ids:
            refusal = self._acquire_permit(engine_id, permits, is_last=False)
            if refusal is not None:
                return refusal
        return None

    def _acquire_permit(
        self, engine_id: UpstreamId, permits: AttemptPermits, is_last: bool
    ) -> NoPermit | None:
        engine = self._context.directory.get(engine_id)
        return permits.acquire(engine, is_last) if engine is not None else None

    def record_prompt(
        self, job: Job, prompt: Prompt, engine_id: UpstreamId, work_tokens: int
    ) -> None:
        """
        Record that an engine prefills a prompt and caches its prefix.

        :param job: The request.
        :param prompt: The declared prompt of the request.
        :param engine_id: The engine.
        :param work_tokens: Prefill work, as tokens without attention.
        """
        # An estimate: the work includes attention, so it differs from the
        # number of uncached tokens.
        cached_tokens = max(prompt.input_tokens - work_tokens, 0)
        self._context.telemetry.record_prompt(engine_id, work_tokens, cached_tokens)
        self.record_prefix(job, prompt, engine_id)

    def record_prefix(self, job: Job, prompt: Prompt, engine_id: UpstreamId) -> None:
        """
        Record that an engine caches the prefix of a prompt from now on.

        :param job: The request.
        :param prompt: The declared prompt of the request.
        :param engine_id: The engine.
        """
        traits = job.service.engine
        if traits is not None:
            # The last part is specific to the request.
            shared = prompt.parts[:-1] or prompt.parts
            self._context.prefixes.record_use(
                engine_id, shared, traits.kv_capacity_tokens
            )
            self._context.placements.add(engine_id, shared)

    def _admit(
        self, job: Job, placement: Placement, engines: int, now_seconds: float
    ) -> None:
        remaining_seconds = job.end_seconds - now_seconds
        decision = admit_generation(
            placement.expected_seconds,
            placement.own_seconds,
            job.route.target_seconds,
            remaining_seconds,
        )
        match decision:
            case Admit():
                return
            case Refuse(retry_after_seconds):
                AdmissionRefused(
                    request_id=job.request.request_id,
                    route=job.route.name,
                    expected_seconds=placement.expected_seconds,
                    own_seconds=placement.own_seconds,
                    target_seconds=job.route.target_seconds,
                    left_seconds=remaining_seconds,
                    engines=engines,
                ).write()
                raise RequestEnded(503, RefusalReason.OVERLOADED, retry_after_seconds)

    def _options(
        self, job: Job, prompt: Prompt, progress: Progress, now_seconds: float
    ) -> list[EngineOption]:
        return engine_options(
            self._context,
            job.service.name,
            prompt,
            progress.excluded,
            job.homes.zones(),
            now_seconds,
        )


def _planned_arrivals(progress: Progress, placement: Placement) -> Arrivals:
    """Return the arrivals of a request once a placement was executed."""
    arrivals = progress.arrivals
    if isinstance(placement, RunSplit):
        arrivals = arrivals.with_prefill()
    return arrivals.with_call()


def _can_decode(option: EngineOption) -> bool:
    return option.role is not EngineRole.PREFILL


def _prompt_size(job: Job, prompt: Prompt) -> PromptSize:
    return PromptSize(
        prompt.input_tokens, prompt.shared_prefix_id, job.route.target_seconds
    )
