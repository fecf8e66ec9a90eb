"""Passing the rest of a plain answer on to its caller as it arrives."""

from collections.abc import Iterator

from attrs import field, frozen

from waxwingwinch.gateway._answer_log_lines import AnswerAborted, AnswerPassed
from waxwingwinch.gateway._attempts import AttemptObserver
from waxwingwinch.gateway._job import Job, RelayContext, raise_if_cancelled
from waxwingwinch.gateway._outcomes import Responder
from waxwingwinch.gateway._plain_exchange import CompleteResponse, OpenAnswer
from waxwingwinch.gateway._upstream_calls import record_failure
from waxwingwinch.http import AnswerMissing


class _OutOfTime(Exception):
    """The caller has not read its answer before the deadline."""


def respond_whole(job: Job, answer: CompleteResponse, responder: Responder) -> None:
    """
    Write an answer that is held whole.

    :param job: The request.
    :param answer: The answer.
    :param responder: Writes the response.
    :raises CallerDisconnected: If the caller has closed its connection.
    """
    head = answer.head
    if job.request.method == "HEAD" and head.body_bytes is not None:
        # The length is that of the body which GET would have brought.
        responder.begin(head.status, head.headers, head.body_bytes)
        responder.end()
    else:
        responder.respond(head.status, head.headers, answer.body)


@frozen
class AnswerPasser:
    """
    Passes answers on in parts, only as fast as their callers read them.

    :param context: Dependencies shared by the relays of the process.
    """

    _context: RelayContext = field(repr=False)

    def pass_on(self, job: Job, answer: OpenAnswer, responder: Responder) -> bool:
        """
        Write an answer to the caller; abort it if its upstream breaks off.

        :param job: The request.
        :param answer: The answer.
        :param responder: Writes the response.
        :returns: False if the answer was aborted.
        :raises CallerDisconnected: If the caller has closed its connection.
        :raises RequestEnded: If the process is about to end.
        """
        sent_bytes = 0
        try:
            responder.begin(
                answer.head.status, answer.head.headers, answer.head.body_bytes
            )
            for part in self._parts(job, answer):
                responder.write(part)
                sent_bytes += len(part)
            responder.end()
        except AnswerMissing as error:
            answer.abort()
            raise_if_cancelled(job, error)
            record_failure(self._context, job, answer.observed.upstream, error)
            AttemptObserver(self._context).failed(answer.observed, error)
            self._abort(job, answer, responder, sent_bytes, str(error))
        except _OutOfTime:
            answer.abort()
            self._abort(
                job, answer, responder, sent_bytes, "not read before the deadline"
            )
        except BaseException:
            answer.abort()
            raise
        else:
            answer.finish()
            AnswerPassed(
                request_id=job.request.request_id,
                upstream_id=answer.observed.upstream.upstream_id,
                sent_bytes=sent_bytes,
            ).write()
            return True
        return False

    def _parts(self, job: Job, answer: OpenAnswer) -> Iterator[bytes]:
        """
        Yield the parts of the body, and hold one at a time.

        What was reserved for the start covers each of them, and what the
        kernel has received beyond it.
        """
        yield answer.take_start()
        clock, response = self._context.clock, answer.response
        while True:
            remaining_seconds = job.cut_seconds - clock.now_seconds()
            if remaining_seconds <= 0.0:
                raise _OutOfTime
            part = response.read_some(remaining_seconds)
            if not part:
                return
            yield part

    def _abort(
        self,
        job: Job,
        answer: OpenAnswer,
        responder: Responder,
        sent_bytes: int,
        reason: str,
    ) -> None:
        AnswerAborted(
            request_id=job.request.request_id,
            upstream_id=answer.observed.upstream.upstream_id,
            sent_bytes=sent_bytes,
            reason=reason,
        ).write()
        responder.abort()
