"""Prefilling a prompt at one engine for decoding at another."""

from attrs import frozen

from waxwingwinch.gateway._cluster_log_lines import HandleNotReleased
from waxwingwinch.gateway._connections import Cancelled
from waxwingwinch.gateway._crash_suspects import Incarnation
from waxwingwinch.gateway._job import (
    Job,
    Progress,
    RelayContext,
    raise_if_cancelled,
)
from waxwingwinch.gateway._loads import NO_LOAD
from waxwingwinch.gateway._placement import FIRST_EVENT_SECONDS, RunSplit, work_seconds
from waxwingwinch.gateway._request_log_lines import PromptRead
from waxwingwinch.gateway._transport import (
    PrefillOnly,
    SilentCall,
    UpstreamResponse,
)
from waxwingwinch.gateway._upstream_calls import (
    open_call,
    record_failure,
    record_rejection,
)
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.http import AnswerMissing, NotSent

#: Timeout of a prefill, relative to the estimated time to the first event.
PREFILL_TIMEOUT_RATIO = 3.0
#: Added to the prefill timeout; several times the duration of a prefill step.
PREFILL_TIMEOUT_MARGIN_SECONDS = 0.5
#: Age up to which a KV cache is offered to another engine; engines keep it for
#: a few seconds until it is fetched.
CACHE_REUSE_SECONDS = 2.0


@frozen
class PrefilledCache:
    """
    The KV cache of a prefilled prompt, to be fetched by a decode engine.

    :param engine: The engine that prefilled the prompt.
    :param handle: KV handle at that engine.
    :param prefilled_seconds: Monotonic time at which the prefill was complete.
    """

    engine: Upstream
    handle: str
    prefilled_seconds: float


@frozen
class PrefillFailed:
    """
    The prefill failed; the prompt needs to be placed again.

    :param progress: The attempts so far, including this one.
    """

    progress: Progress


class PrefillRelay:
    """
    Has prompts prefilled separately from their decoding.

    :param context: Dependencies shared by the relays of the process.
    """

    def __init__(self, context: RelayContext) -> None:
        self._context = context

    def prefill(
        self,
        job: Job,
        progress: Progress,
        engine: Upstream,
        placement: RunSplit,
        silent: UpstreamResponse | None = None,
    ) -> PrefilledCache | PrefillFailed:
        """
        Have a prompt prefilled.

        :param job: The request.
        :param progress: The attempts so far.
        :param engine: The prefill engine.
        :param placement: The placement with its estimates.
        :param silent: An earlier response to the request, if one is silent.
        :raises CallDropped: If the earlier response goes on first.
        :raises CallerDisconnected: If the caller has closed its connection.
        """
        now_seconds = self._context.clock.now_seconds()
        totals = self._context.loads.totals(now_seconds)
        waiting = totals.get(engine.upstream_id, NO_LOAD).waiting_tokens
        tracked_request = self._context.loads.begin(
            engine.upstream_id, placement.read_tokens
        )
        try:
            handle = self._request_prefill(job, engine, placement, silent, now_seconds)
            if handle is None:
                return PrefillFailed(progress.with_failed_prefill(engine.upstream_id))
            self._record_prefill(job, engine, placement, waiting, now_seconds)
            prefilled_seconds = self._context.clock.now_seconds()
            return PrefilledCache(engine, handle, prefilled_seconds)
        except NotSent as error:
            record_failure(self._context, job, engine, error)
            return PrefillFailed(progress.with_connect_failure(engine.upstream_id))
        except (AnswerMissing, Cancelled) as error:
            raise_if_cancelled(job, error)
            record_failure(self._context, job, engine, error)
            return PrefillFailed(progress.with_failed_prefill(engine.upstream_id))
        finally:
            tracked_request.end()

    def is_available(self, job: Job, cache: PrefilledCache) -> bool:
        """
        Tell whether an engine can probably still fetch a KV cache.

        The cache is lost once its engine has restarted, has left or is
        unreachable, and expires after some seconds. Nothing is fetched from an
        evacuated zone or from outside the home regions.

        :param job: The request.
        :param cache: The KV cache.
        """
        now_seconds = self._context.clock.now_seconds()
        engine_id = cache.engine.upstream_id
        directory = self._context.directory
        known = directory.get(engine_id)
        zones = job.homes.zones()
        return (
            known is not None
            and known.started_ms == cache.engine.started_ms
            and not directory.evacuated.contains(known.zone)
            and (zones is None or known.zone in zones)
            and not directory.was_unreachable(engine_id, cache.prefilled_seconds)
            and now_seconds < cache.prefilled_seconds + CACHE_REUSE_SECONDS
        )

    def release(self, job: Job, cache: PrefilledCache) -> None:
        """
        Release a KV cache that will not be fetched.

        :param job: The request.
        :param cache: The KV cache.
        """
        now_seconds = self._context.clock.now_seconds()
        directory, zones = self._context.directory, job.homes.zones()
        if directory.is_away(cache.engine, now_seconds):
            reason = "the engine wants no request yet"
        elif directory.evacuated.contains(cache.engine.zone):
            reason = "the availability zone is evacuated"
        elif zones is not None and cache.engine.zone not in zones:
            reason = "the engine is outside the home regions"
        elif self._context.permits.is_cold(cache.engine):
            reason = "the engine is cold"
        else:
            self._context.transport.release_handle(cache.engine, cache.handle)
            return
        # The engine frees the KV cache by itself after a few seconds.
        HandleNotReleased(upstream_id=cache.engine.upstream_id, reason=reason).write()

    def _request_prefill(
        self,
        job: Job,
        engine: Upstream,
        placement: RunSplit,
        silent: UpstreamResponse | None,
        now_seconds: float,
    ) -> str | None:
        """Return the KV handle; None if the engine rejected the call."""
        wait_seconds = min(
            job.end_seconds - now_seconds,
            placement.expected_seconds * PREFILL_TIMEOUT_RATIO
            + PREFILL_TIMEOUT_MARGIN_SECONDS,
        )
        response = open_call(
            self._context,
            job,
            engine,
            job.call(PrefillOnly()),
            now_seconds,
            wait_seconds,
            SilentCall(silent, wait_seconds) if silent is not None else None,
        )
        if response.head.not_executed:
            try:
                response.read_all(wait_seconds)
            except AnswerMissing:
                response.abort()
                raise
            response.finish()
            record_rejection(self._context, job, engine, response.head)
            return None
        return self._context.transport.read_handle(response, wait_seconds)

    def _record_prefill(
        self,
        job: Job,
        engine: Upstream,
        placement: RunSplit,
        waiting_tokens: int,
        started_seconds: float,
    ) -> None:
        self._context.directory.record_success(engine.upstream_id)
        self._context.crashes.record_answer(
            Incarnation(engine.upstream_id, engine.started_ms),
            started_seconds,
            self._context.clock.now_seconds(),
        )
        took_seconds = self._context.clock.now_seconds() - started_seconds
        now_seconds = started_seconds + took_seconds
        # Reports of work that others sent before it arrive after it.
        late = self._context.loads.total(engine.upstream_id, now_seconds)
        late_tokens = late.waiting_tokens - placement.read_tokens
        self._context.capacity.observe_prefill(
            engine,
            work_seconds(placement.read_tokens),
            work_seconds(max(waiting_tokens, late_tokens)),
            took_seconds - FIRST_EVENT_SECONDS,
            now_seconds,
        )
        self._context.capacity.observe_success(engine, now_seconds)
        PromptRead(
            request_id=job.request.request_id,
            upstream_id=engine.upstream_id,
            read_work=placement.read_tokens,
            waiting_work=waiting_tokens,
            took_seconds=took_seconds,
            pace=self._context.capacity.estimate(engine, now_seconds).prefill,
        ).write()
