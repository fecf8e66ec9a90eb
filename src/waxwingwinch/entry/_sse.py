"""Responses in OpenAI's JSON format: one body or server-sent events."""

import json
from typing import Any

from attrs import frozen

from waxwingwinch.entry._bodies import CompletionRequest
from waxwingwinch.entry._errors import RequestFailed
from waxwingwinch.interfaces import StreamEnd

#: Last event of a complete stream.
DONE_EVENT = b"data: [DONE]\n\n"
#: Headers of an event stream.
EVENT_STREAM_HEADERS = (
    ("Content-Type", "text/event-stream;charset=utf-8"),
    ("Cache-Control", "no-cache"),
)


@frozen
class ResponseEncoder:
    """
    Encodes the response to a completion request.

    :param request_id: Id of the request.
    :param created_seconds: Unix time at which the response was created.
    :param completion: The completion request.
    """

    request_id: str
    created_seconds: int
    completion: CompletionRequest

    def token_event(self, text: str, is_first: bool) -> bytes:
        """
        Return the event of a token.

        :param text: Text of the token.
        :param is_first: True for the first token of the response.
        """
        return _event(self._chunk(self._delta(text, is_first), None))

    def end_events(self, end: StreamEnd) -> bytes:
        """
        Return the events that end a complete stream.

        :param end: End of the generation, as sent by the engine.
        """
        choice: dict[str, Any] = {"delta": {}}
        if not self.completion.chat:
            choice = {"text": ""}
        events = _event(self._chunk(choice, end.finish_reason))
        if self.completion.include_usage:
            usage = self._base_object("chunk")
            usage["choices"] = []
            usage["usage"] = _usage(end)
            events += _event(usage)
        return events + DONE_EVENT

    def error_event(self, error: RequestFailed) -> bytes:
        """
        Return the event that ends an incomplete stream.

        :param error: Why the stream is incomplete.
        """
        return b"event: error\ndata: " + error.body(self.request_id) + b"\n\n"

    def complete_body(self, text: str, end: StreamEnd) -> bytes:
        """
        Return the body of a response that is not streamed.

        :param text: The generated text.
        :param end: End of the generation, as sent by the engine.
        """
        choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason}
        if self.completion.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        body = self._base_object("")
        body["choices"] = [choice]
        body["usage"] = _usage(end)
        return json.dumps(body).encode()

    def _delta(self, text: str, is_first: bool) -> dict[str, Any]:
        if not self.completion.chat:
            return {"text": text}
        role = {"role": "assistant"} if is_first else {}
        return {"delta": {**role, "content": text}}

    def _chunk(self, choice: dict[str, Any], finish: str | None) -> dict[str, Any]:
        chunk = self._base_object("chunk")
        chunk["choices"] = [{"index": 0, **choice, "finish_reason": finish}]
        return chunk

    def _base_object(self, object_suffix: str) -> dict[str, Any]:
        object_type = "text_completion"
        id_prefix = "cmpl"
        if self.completion.chat:
            object_type = (
                "chat.completion.chunk" if object_suffix else "chat.completion"
            )
            id_prefix = "chatcmpl"
        adapter = f":{self.completion.adapter}" if self.completion.adapter else ""
        return {
            "id": f"{id_prefix}-{self.request_id}",
            "object": object_type,
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
