"""Having a prompt read by one engine for another."""

from attrs import frozen

from waxwingwinch.gateway._connections import Cancelled
from waxwingwinch.gateway._job import (
    Job,
    Progress,
    RelayContext,
    raise_if_caller_disconnected,
)
from waxwingwinch.gateway._loads import NO_LOAD
from waxwingwinch.gateway._placement import FIRST_EVENT_SECONDS, RunSplit, work_seconds
from waxwingwinch.gateway._plain_relay import record_failure, record_rejection
from waxwingwinch.gateway._request_log_lines import PromptRead
from waxwingwinch.gateway._transport import PrefillOnly
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.http import AnswerMissing, NotSent

#: How long a prompt may take to be read, relative to the estimate.
PREFILL_TIMEOUT_RATIO = 3.0
#: What is added to it; several times the time of one reading step.
PREFILL_TIMEOUT_MARGIN_SECONDS = 0.5


@frozen
class PrefilledCache:
    """
    A KV cache that waits to be fetched.

    :param engine: The engine that read the prompt.
    :param handle: Names it there.
    """

    engine: Upstream
    handle: str


@frozen
class PrefillFailed:
    """
    The prompt has to be read by another engine.

    :param progress: What was tried, this included.
    """

    progress: Progress


class PrefillRelay:
    """
    Has prompts read apart from their generation.

    :param tools: What the relays of the process share.
    """

    def __init__(self, context: RelayContext) -> None:
        self._context = context

    def prefill(
        self, job: Job, progress: Progress, engine: Upstream, placement: RunSplit
    ) -> PrefilledCache | PrefillFailed:
        """
        Have a prompt read.

        :param job: The request.
        :param progress: What was tried.
        :param reader: The engine that reads.
        :param placement: The estimates.
        :raises CallerLost: If the caller has gone.
        """
        now_seconds = self._context.clock.now_seconds()
        totals = self._context.loads.totals(now_seconds)
        waiting = totals.get(engine.upstream_id, NO_LOAD).waiting_tokens
        ticket = self._context.loads.begin(engine.upstream_id, placement.read_tokens)
        try:
            handle = self._request_prefill(job, engine, placement, now_seconds)
            if handle is None:
                return PrefillFailed(progress.with_failed_prefill(engine.upstream_id))
            self._record_prefill(job, engine, placement, waiting, now_seconds)
            return PrefilledCache(engine, handle)
        except NotSent as error:
            record_failure(self._context, job, engine, error)
            return PrefillFailed(progress.with_connect_failure(engine.upstream_id))
        except (AnswerMissing, Cancelled) as error:
            raise_if_caller_disconnected(job, error)
            record_failure(self._context, job, engine, error)
            return PrefillFailed(progress.with_failed_prefill(engine.upstream_id))
        finally:
            ticket.end()

    def release(self, cache: PrefilledCache) -> None:
        """
        Free a KV cache that nobody is going to fetch.

        :param cache: The cache.
        """
        self._context.transport.release_handle(cache.engine, cache.handle)

    def _request_prefill(
        self, job: Job, engine: Upstream, placement: RunSplit, now_seconds: float
    ) -> str | None:
        """Return the handle of the KV cache; None if the engine refused."""
        wait_seconds = min(
            job.end_seconds - now_seconds,
            placement.expected_seconds * PREFILL_TIMEOUT_RATIO
            + PREFILL_TIMEOUT_MARGIN_SECONDS,
        )
        response = self._context.transport.open(
            engine,
            job.call(PrefillOnly()),
            job.cancellation,
            now_seconds,
            wait_seconds,
        )
        if response.head.not_executed:
            response.read_all(wait_seconds)
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
        self._context.directory.succeeded(engine.upstream_id)
        took_seconds = self._context.clock.now_seconds() - started_seconds
        self._context.paces.observe(
            engine.upstream_id,
            work_seconds(placement.read_tokens + waiting_tokens),
            took_seconds - FIRST_EVENT_SECONDS,
        )
        PromptRead(
            request_id=job.request.request_id,
            upstream_id=engine.upstream_id,
            read_work=placement.read_tokens,
            waiting_work=waiting_tokens,
            took_seconds=took_seconds,
            pace=self._context.paces.pace(engine.upstream_id),
        ).write()
