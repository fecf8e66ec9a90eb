"""Having a prompt read by one engine for another."""

from attrs import frozen

from waxwingwinch.gateway._connections import Cancelled
from waxwingwinch.gateway._job import Job, Progress, RelayTools, raise_if_caller_left
from waxwingwinch.gateway._loads import NO_LOAD
from waxwingwinch.gateway._placement import FIRST_EVENT_SECONDS, RunSplit, work_seconds
from waxwingwinch.gateway._plain_relay import note_failure, note_rejection
from waxwingwinch.gateway._request_lines import PromptRead
from waxwingwinch.gateway._transport import ReadPrompt
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.http import AnswerMissing, NotSent

#: How long a prompt may take to be read, relative to the estimate.
READ_PATIENCE_RATIO = 3.0
#: What is added to it; several times the time of one reading step.
READ_PATIENCE_SECONDS = 0.5


@frozen
class WaitingCache:
    """
    A KV cache that waits to be fetched.

    :param engine: The engine that read the prompt.
    :param handle: Names it there.
    """

    engine: Upstream
    handle: str


@frozen
class PromptNotRead:
    """
    The prompt has to be read by another engine.

    :param progress: What was tried, this included.
    """

    progress: Progress


class PromptReader:
    """
    Has prompts read apart from their generation.

    :param tools: What the relays of the process share.
    """

    def __init__(self, tools: RelayTools) -> None:
        self._tools = tools

    def read(
        self, job: Job, progress: Progress, reader: Upstream, placement: RunSplit
    ) -> WaitingCache | PromptNotRead:
        """
        Have a prompt read.

        :param job: The request.
        :param progress: What was tried.
        :param reader: The engine that reads.
        :param placement: The estimates.
        :raises CallerDisconnected: If the caller has gone.
        """
        now_seconds = self._tools.clock.now_seconds()
        totals = self._tools.loads.totals(now_seconds)
        waiting = totals.get(reader.upstream_id, NO_LOAD).waiting_tokens
        tracked_request = self._tools.loads.begin(
            reader.upstream_id, placement.read_tokens
        )
        try:
            handle = self._ask(job, reader, placement, now_seconds)
            if handle is None:
                return PromptNotRead(progress.not_read(reader.upstream_id))
            self._note_read(job, reader, placement, waiting, now_seconds)
            return WaitingCache(reader, handle)
        except NotSent as error:
            note_failure(self._tools, job, reader, error)
            return PromptNotRead(progress.not_sent(reader.upstream_id))
        except (AnswerMissing, Cancelled) as error:
            raise_if_caller_left(job, error)
            note_failure(self._tools, job, reader, error)
            return PromptNotRead(progress.not_read(reader.upstream_id))
        finally:
            tracked_request.end()

    def drop(self, cache: WaitingCache) -> None:
        """
        Free a KV cache that nobody is going to fetch.

        :param cache: The cache.
        """
        self._tools.transport.drop_handle(cache.engine, cache.handle)

    def _ask(
        self, job: Job, reader: Upstream, placement: RunSplit, now_seconds: float
    ) -> str | None:
        """Return the handle of the KV cache; None if the engine refused."""
        wait_seconds = min(
            job.end_seconds - now_seconds,
            placement.expected_seconds * READ_PATIENCE_RATIO + READ_PATIENCE_SECONDS,
        )
        answer = self._tools.transport.open(
            reader,
            job.call(ReadPrompt()),
            job.cancellation,
            now_seconds,
            wait_seconds,
        )
        if answer.head.not_executed:
            answer.read_all(wait_seconds)
            answer.finish()
            note_rejection(self._tools, job, reader, answer.head)
            return None
        return self._tools.transport.read_handle(answer, wait_seconds)

    def _note_read(
        self,
        job: Job,
        reader: Upstream,
        placement: RunSplit,
        waiting_tokens: int,
        began_seconds: float,
    ) -> None:
        self._tools.directory.record_success(reader.upstream_id)
        took_seconds = self._tools.clock.now_seconds() - began_seconds
        self._tools.slowdowns.observe(
            reader.upstream_id,
            work_seconds(placement.read_tokens + waiting_tokens),
            took_seconds - FIRST_EVENT_SECONDS,
        )
        PromptRead(
            request_id=job.request.request_id,
            upstream_id=reader.upstream_id,
            read_work=placement.read_tokens,
            waiting_work=waiting_tokens,
            took_seconds=took_seconds,
            pace=self._tools.slowdowns.slowdown(reader.upstream_id),
        ).write()
