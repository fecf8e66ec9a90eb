"""Streams of generated tokens as server-sent events."""

import time
from collections.abc import Iterator
from typing import Any

from waxwingwinch._exceptions import Outcome, UpstreamFailed
from waxwingwinch._json import decode_json
from waxwingwinch._types import Address
from waxwingwinch.adapters._calls import STATUS_OK, error_code
from waxwingwinch.http import (
    MAX_BODY_BYTES,
    AnswerMissing,
    Exchange,
    HttpRequest,
    NotSent,
)
from waxwingwinch.interfaces import GenerateCall, StreamEnd, StreamItem, StreamPart

#: Error codes by which an engine says that it refused a call unread.
REFUSAL_CODES = frozenset(
    {
        "adapter_not_loaded",
        "kv_unavailable",
        "model_not_loaded",
        "not_accepting",
        "prompt_too_long",
    }
)

_DATA_PREFIX = b"data:"


class HttpEngineStream:
    """
    A running generation.

    :param sent: The exchange whose body is the stream.
    :param call: The call that began it.
    """

    def __init__(self, sent: Exchange, call: GenerateCall) -> None:
        self._sent = sent
        self._call = call
        self._next_index = call.resume_from_token

    def __iter__(self) -> Iterator[StreamItem]:
        """
        Yield the items.

        :raises UpstreamFailed: If the stream ends early, stalls, or carries
            anything but the next token of this generation.
        """
        try:
            for line in self._lines():
                item = self._item(line)
                yield item
                if isinstance(item, StreamEnd):
                    return
            raise UpstreamFailed("stream ended early", Outcome.UNKNOWN)
        except AnswerMissing as error:
            raise UpstreamFailed(str(error), Outcome.UNKNOWN) from error
        except (KeyError, TypeError, ValueError) as error:
            reason = f"malformed stream item: {error!r}"
            raise UpstreamFailed(reason, Outcome.UNKNOWN) from error
        finally:
            self.close()

    def close(self) -> None:
        """Drop the connection; the engine cancels the generation."""
        self._sent.close()

    def _lines(self) -> Iterator[bytes]:
        """Yield the data lines; comments don't extend the idle timeout."""
        idle_seconds = self._call.idle_timeout_seconds
        deadline_seconds = time.monotonic() + idle_seconds
        pending = b""
        while part := self._sent.read_some(deadline_seconds - time.monotonic()):
            *lines, pending = (pending + part).split(b"\n")
            for line in lines:
                if line.startswith(_DATA_PREFIX):
                    yield line.removeprefix(_DATA_PREFIX)
                    # The time that the consumer took is not the engine's.
                    deadline_seconds = time.monotonic() + idle_seconds

    def _item(self, line: bytes) -> StreamItem:
        value = decode_json(line, MAX_BODY_BYTES)
        if value["request_id"] != self._call.request_id:
            raise ValueError(f"item of generation {value['request_id']!r}")
        if "end" in value:
            return self._end(value["end"])
        index = int(value["index"])
        if index != self._next_index:
            raise ValueError(f"token {index} instead of {self._next_index}")
        self._next_index += 1
        return StreamPart(index, str(value["text"]))

    def _end(self, value: Any) -> StreamEnd:
        end = StreamEnd(
            str(value["finish_reason"]),
            int(value["prompt_tokens"]),
            int(value["output_tokens"]),
            int(value["cached_prompt_tokens"]),
        )
        if not self._call.prefill_only and end.output_tokens != self._next_index:
            raise ValueError(f"{end.output_tokens} tokens announced at the end")
        return end


def open_stream(
    address: Address, request: HttpRequest, call: GenerateCall
) -> HttpEngineStream:
    """
    Send a call and wait until the engine has taken it.

    :param address: The engine.
    :param request: The encoded call.
    :param call: The call.
    :raises UpstreamFailed: If the engine refused it or didn't answer.
    """
    try:
        sent = Exchange(
            address, request, call.connect_timeout_seconds, call.idle_timeout_seconds
        )
    except NotSent as error:
        raise UpstreamFailed(str(error), Outcome.NOT_RUN) from error
    except AnswerMissing as error:
        raise UpstreamFailed(str(error), Outcome.UNKNOWN) from error
    if sent.response.status == STATUS_OK:
        return HttpEngineStream(sent, call)
    try:
        raise _refusal(sent, call)
    finally:
        sent.close()


def _refusal(sent: Exchange, call: GenerateCall) -> UpstreamFailed:
    status = sent.response.status
    try:
        body = sent.read_all(time.monotonic() + call.idle_timeout_seconds)
    except AnswerMissing as error:
        return UpstreamFailed(f"status {status}: {error}", Outcome.UNKNOWN)
    code = error_code(body)
    outcome = Outcome.NOT_RUN if code in REFUSAL_CODES else Outcome.UNKNOWN
    return UpstreamFailed(f"status {status}: {code}", outcome)
