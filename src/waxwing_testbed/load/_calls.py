"""Single calls to one instance, checked for whole and right answers."""

import json
import time
import uuid

import urllib3
from attrs import evolve, frozen

from waxwing_testbed._answers import expected_token
from waxwing_testbed.history import CallEvent, CallKind, CallOutcome
from waxwing_testbed.load._sse import iterate_lines
from waxwingwinch._types import Address

#: How long connecting may take.
CONNECT_TIMEOUT_SECONDS = 2.0


@frozen
class ChatCall:
    """
    Asks for a streamed completion.

    :param model: The model.
    :param prompt: The prompt.
    :param max_tokens: Number of tokens to generate.
    """

    model: str
    prompt: str
    max_tokens: int


@frozen
class PlainRequest:
    """
    Calls a plain service.

    :param kind: Read, order or payment.
    :param method: HTTP method.
    :param path: Path of the route.
    :param body: Request body.
    :param idempotency_key: Sent unless empty.
    """

    kind: CallKind
    method: str
    path: str
    body: bytes = b"{}"
    idempotency_key: str = ""


Call = ChatCall | PlainRequest


@frozen
class CallSender:
    """
    Sends the calls of one customer.

    :param customer_id: The customer.
    :param key: Its key.
    :param timeout_seconds: Longest silence before a call counts as broken.
    """

    customer_id: str
    key: str
    timeout_seconds: float = 30.0

    def send(self, address: Address, call: Call) -> CallEvent:
        """
        Send a call and wait for its end.

        :param address: The instance.
        :param call: What to ask for.
        """
        match call:
            case ChatCall():
                return self._chat(address, call)
            case PlainRequest():
                return self._plain(address, call)

    def _chat(self, address: Address, call: ChatCall) -> CallEvent:
        event = self._new_event(address, CallKind.CHAT, "")
        body = {
            "model": call.model,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "stream": True,
        }
        try:
            response = self._open(
                address, "POST", "/v1/completions", json.dumps(body).encode(), {}
            )
            event = _with_head(event, response)
            if response.status != 200:
                return _refused(event, response.data)
            return _read_stream(event, response, call)
        except urllib3.exceptions.HTTPError as error:
            return _broken(event, error)

    def _plain(self, address: Address, call: PlainRequest) -> CallEvent:
        event = self._new_event(address, call.kind, call.idempotency_key)
        headers = {}
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        body = b"" if call.method == "GET" else call.body
        try:
            response = self._open(address, call.method, call.path, body, headers)
            event = _with_head(event, response)
            data = response.data
        except urllib3.exceptions.HTTPError as error:
            return _broken(event, error)
        if response.status != 200:
            return _refused(event, data)
        return _read_plain(event, data, call)

    def _open(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> urllib3.BaseHTTPResponse:
        # A new connection for each call, so that a restart of the instance
        # never meets an idle one.
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_SECONDS, read=self.timeout_seconds
        )
        return urllib3.PoolManager(num_pools=1).request(
            method,
            f"http://{address}{path}",
            body=body,
            headers={
                "Authorization": f"Bearer {self.key}",
                "Content-Type": "application/json",
                "Connection": "close",
                **headers,
            },
            timeout=timeout,
            retries=False,
            preload_content=False,
        )

    def _new_event(self, address: Address, kind: CallKind, key: str) -> CallEvent:
        now_seconds = time.monotonic()
        return CallEvent(
            call_id=uuid.uuid4().hex,
            request_id="",
            kind=kind,
            customer_id=self.customer_id,
            instance=str(address),
            idempotency_key=key,
            started_seconds=now_seconds,
            ended_seconds=now_seconds,
            status=0,
            outcome=CallOutcome.BROKEN,
        )


def _with_head(event: CallEvent, response: urllib3.BaseHTTPResponse) -> CallEvent:
    retry_after = response.headers.get("Retry-After")
    return evolve(
        event,
        status=response.status,
        request_id=response.headers.get("X-Request-Id", ""),
        retry_after_seconds=float(retry_after) if retry_after else None,
    )


def _ended(event: CallEvent, outcome: CallOutcome, detail: str = "") -> CallEvent:
    return evolve(event, ended_seconds=time.monotonic(), outcome=outcome, detail=detail)


def _broken(event: CallEvent, error: Exception) -> CallEvent:
    broken = evolve(event, message=str(error))
    return _ended(broken, CallOutcome.BROKEN, type(error).__name__)


def _refused(event: CallEvent, data: bytes) -> CallEvent:
    try:
        error = json.loads(data)["error"]
        event = evolve(event, message=str(error.get("message", "")))
        return _ended(event, CallOutcome(error["outcome"]), error["code"])
    except (ValueError, KeyError, TypeError):
        return _ended(event, CallOutcome.BROKEN, f"status {event.status}")


def _read_plain(event: CallEvent, data: bytes, call: PlainRequest) -> CallEvent:
    try:
        answer = json.loads(data)
    except ValueError:
        return _ended(event, CallOutcome.WRONG, "not JSON")
    execution = f"{answer['request_id']}/{answer['execution']}"
    event = evolve(event, upstream_execution=execution)
    sent = "" if call.method == "GET" else call.body.decode()
    if answer["path"] != call.path or answer["body"] != sent:
        return _ended(event, CallOutcome.WRONG, "answer to another request")
    return _ended(event, CallOutcome.WHOLE)


def _read_stream(
    event: CallEvent, response: urllib3.BaseHTTPResponse, call: ChatCall
) -> CallEvent:
    """Read server-sent events up to ``[DONE]`` or an error."""
    is_error = False
    previous_seconds = event.started_seconds
    for line in iterate_lines(response):
        if line == b"event: error":
            is_error = True
        if not line.startswith(b"data: "):
            continue
        payload = line.removeprefix(b"data: ")
        if is_error:
            return _refused(event, payload)
        if payload == b"[DONE]":
            return _whole_or_short(event, call)
        text = json.loads(payload)["choices"][0].get("text", "")
        if not text:
            continue
        if text != expected_token(call.prompt, event.output_tokens):
            detail = f"token {event.output_tokens} is {text!r}"
            return _ended(event, CallOutcome.WRONG, detail)
        now_seconds = time.monotonic()
        event = _with_token(event, now_seconds, previous_seconds)
        previous_seconds = now_seconds
    return _ended(event, CallOutcome.BROKEN, "stream ended early")


def _with_token(
    event: CallEvent, now_seconds: float, previous_seconds: float
) -> CallEvent:
    if event.output_tokens == 0:
        first_seconds = now_seconds - event.started_seconds
        return evolve(event, output_tokens=1, first_token_seconds=first_seconds)
    gap_seconds = max(event.longest_gap_seconds, now_seconds - previous_seconds)
    return evolve(
        event, output_tokens=event.output_tokens + 1, longest_gap_seconds=gap_seconds
    )


def _whole_or_short(event: CallEvent, call: ChatCall) -> CallEvent:
    if event.output_tokens != call.max_tokens:
        detail = f"{event.output_tokens} of {call.max_tokens} tokens"
        return _ended(event, CallOutcome.WRONG, detail)
    return _ended(event, CallOutcome.WHOLE)
