"""Choosing the engines of a generation from what the process knows."""

from waxwingwinch._types import EngineRole, UpstreamId
from waxwingwinch.gateway._admission import Admit, Refuse, admit_generation
from waxwingwinch.gateway._job import Job, Progress, RelayTools
from waxwingwinch.gateway._loads import NO_LOAD
from waxwingwinch.gateway._outcomes import RefusalReason, RequestEnded
from waxwingwinch.gateway._placement import (
    EngineOption,
    Placement,
    PromptSize,
    RunDirectly,
    place_prompt,
)
from waxwingwinch.gateway._plain_relay import may_try
from waxwingwinch.gateway._request_lines import AdmissionRefused, RequestPlaced
from waxwingwinch.gateway._requests import Prompt
from waxwingwinch.gateway._telemetry import CounterName
from waxwingwinch.gateway._upstreams import Upstream


class EngineChooser:
    """
    Places generations, and turns away those that would come too late.

    :param tools: What the relays of the process share.
    """

    def __init__(self, tools: RelayTools) -> None:
        self._tools = tools

    def choose(
        self, job: Job, prompt: Prompt, progress: Progress, now_seconds: float
    ) -> Placement | None:
        """
        Choose where a generation runs, or runs again.

        :param job: The request.
        :param prompt: What it announces.
        :param progress: What was tried.
        :param now_seconds: Monotonic time.
        :returns: None if it may not be tried any more.
        :raises RequestEnded: If it is turned away.
        """
        if not may_try(job, progress, now_seconds):
            return None
        options = self._options(job, prompt, progress, now_seconds)
        placement = place_prompt(_size(job, prompt), options, self._tools.zone)
        if placement is None:
            return None
        if progress.is_repeat:
            if not self._tools.budget.spend(job.service.name, now_seconds):
                return None
            self._tools.telemetry.count(CounterName.REPEATS, job.service.name)
        elif not progress.connect_failures:
            self._admit(job, placement, len(options), now_seconds)
        self._tools.telemetry.count(CounterName.PLACEMENTS, type(placement).__name__)
        RequestPlaced(
            request_id=job.request.request_id,
            route=job.route.name,
            entries_age_seconds=self._tools.directory.age_seconds(now_seconds),
            prompt_tokens=prompt.input_tokens,
            placement=repr(placement),
            engines=len(options),
        ).write()
        return placement

    def decoder(
        self, job: Job, prompt: Prompt, progress: Progress, chosen_id: UpstreamId
    ) -> Upstream | None:
        """
        Return the chosen engine, or another if it has left meanwhile.

        :param job: The request.
        :param prompt: What it announces.
        :param progress: What was tried.
        :param chosen_id: The engine that was chosen to generate.
        """
        chosen = self._tools.directory.ready(chosen_id)
        if chosen is not None:
            return chosen
        now_seconds = self._tools.clock.now_seconds()
        options = self._options(job, prompt, progress, now_seconds)
        decoders = [one for one in options if one.role is not EngineRole.PREFILL]
        placement = place_prompt(_size(job, prompt), decoders, self._tools.zone)
        if not isinstance(placement, RunDirectly):
            return None
        return self._tools.directory.ready(placement.upstream_id)

    def note_prompt(
        self, job: Job, prompt: Prompt, engine_id: UpstreamId, read_tokens: int
    ) -> None:
        """
        Note that an engine is given a prompt, whose beginning it then holds.

        :param job: The request.
        :param prompt: What it announces.
        :param engine_id: The engine.
        :param read_tokens: Tokens that it has to read.
        """
        cached_tokens = max(prompt.input_tokens - read_tokens, 0)
        self._tools.telemetry.record_prompt(engine_id, read_tokens, cached_tokens)
        self.note_prefix(job, prompt, engine_id)

    def note_prefix(self, job: Job, prompt: Prompt, engine_id: UpstreamId) -> None:
        """
        Note that an engine holds the beginning of a prompt from now on.

        :param job: The request.
        :param prompt: What it announces.
        :param engine_id: The engine.
        """
        traits = job.service.engine
        if traits is not None:
            shared = prompt.parts[:-1] or prompt.parts
            self._tools.prefixes.used(engine_id, shared, traits.kv_capacity_tokens)
            self._tools.placements.add(engine_id, shared)

    def _admit(
        self, job: Job, placement: Placement, engines: int, now_seconds: float
    ) -> None:
        left_seconds = job.end_seconds - now_seconds
        decision = admit_generation(
            placement.expected_seconds,
            placement.own_seconds,
            job.route.target_seconds,
            left_seconds,
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
                    left_seconds=left_seconds,
                    engines=engines,
                ).write()
                raise RequestEnded(503, RefusalReason.OVERLOADED, retry_after_seconds)

    def _options(
        self, job: Job, prompt: Prompt, progress: Progress, now_seconds: float
    ) -> list[EngineOption]:
        totals = self._tools.loads.totals(now_seconds)
        return [
            EngineOption(
                upstream.upstream_id,
                upstream.role or EngineRole.MIXED,
                upstream.zone,
                totals.get(upstream.upstream_id, NO_LOAD),
                self._tools.prefixes.cached_tokens(upstream.upstream_id, prompt.parts),
                self._tools.paces.pace(upstream.upstream_id),
            )
            for upstream in self._tools.directory.usable(
                job.service.name, now_seconds, progress.excluded
            )
        ]


def _size(job: Job, prompt: Prompt) -> PromptSize:
    return PromptSize(prompt.input_tokens, prompt.shared_id, job.route.target_seconds)
