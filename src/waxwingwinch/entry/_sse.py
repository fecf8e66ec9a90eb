"""Answers in OpenAI's JSON, whole or as server-sent events."""

import json
from typing import Any

from attrs import frozen

from waxwingwinch.entry._bodies import CompletionRequest
from waxwingwinch.entry._errors import RequestFailed
from waxwingwinch.interfaces import StreamEnd

#: Last event of a whole answer.
DONE_EVENT = b"data: [DONE]\n\n"
#: Headers of an event stream.
EVENT_STREAM_HEADERS = (
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
)


@frozen
class AnswerFormat:
    """
    Writes the parts of one answer.

    :param request_id: The request.
    :param created_seconds: Unix time.
    :param completion: What the caller asked for.
    """

    request_id: str
    created_seconds: int
    completion: CompletionRequest

    def part_event(self, text: str, is_first: bool) -> bytes:
        """
        Return the event of one token.

        :param text: Its text.
        :param is_first: True for the first one of the answer.
        """
        return _event(self._chunk(self._delta(text, is_first), None))

    def end_events(self, end: StreamEnd) -> bytes:
        """
        Return the events that end a whole answer.

        :param end: The engine's end.
        """
        choice: dict[str, Any] = {"delta": {}}
        if not self.completion.chat:
            choice = {"text": ""}
        events = _event(self._chunk(choice, end.finish_reason))
        if self.completion.include_usage:
            usage = self._head("chunk")
            usage["choices"] = []
            usage["usage"] = _usage(end)
            events += _event(usage)
        return events + DONE_EVENT

    def error_event(self, error: RequestFailed) -> bytes:
        """
        Return the event that ends an answer that isn't whole.

        :param error: Why.
        """
        return b"event: error\ndata: " + error.body(self.request_id) + b"\n\n"

    def whole(self, text: str, end: StreamEnd) -> bytes:
        """
        Return a whole answer.

        :param text: Its text.
        :param end: The engine's end.
        """
        choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason}
        if self.completion.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        answer = self._head("")
        answer["choices"] = [choice]
        answer["usage"] = _usage(end)
        return json.dumps(answer).encode()

    def _delta(self, text: str, is_first: bool) -> dict[str, Any]:
        if not self.completion.chat:
            return {"text": text}
        role = {"role": "assistant"} if is_first else {}
        return {"delta": {**role, "content": text}}

    def _chunk(self, choice: dict[str, Any], finish: str | None) -> dict[str, Any]:
        chunk = self._head("chunk")
        chunk["choices"] = [{"index": 0, **choice, "finish_reason": finish}]
        return chunk

    def _head(self, form: str) -> dict[str, Any]:
        name = "text_completion"
        prefix = "cmpl"
        if self.completion.chat:
            name = "chat.completion.chunk" if form else "chat.completion"
            prefix = "chatcmpl"
        adapter = f":{self.completion.adapter}" if self.completion.adapter else ""
        return {
            "id": f"{prefix}-{self.request_id}",
            "object": name,
            "created": self.created_seconds,
            "model": f"{self.completion.model}{adapter}",
        }


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _usage(end: StreamEnd) -> dict[str, Any]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.output_tokens,
        "total_tokens": end.prompt_tokens + end.output_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_prompt_tokens},
    }
