"""Interpreting the headers of callers' requests."""

import re
from urllib.parse import urlsplit

from waxwingwinch.gateway import (
    GatewayRequest,
    MalformedRequest,
    Prompt,
    PromptPart,
    RawRequest,
)
from waxwingwinch.platform._headers import (
    DEADLINE_MS,
    KEY,
    LAST_EVENT_ID,
    MODEL,
    ONE_CONNECTION,
    PREFIX,
    PROMPT_PREFIX,
    REQUEST_ID,
    SYSTEM_ONLY,
    TOKEN_COUNTS,
)

_MILLISECONDS_PER_SECOND = 1_000
_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")
_DIGITS = re.compile(r"[0-9]{1,15}")


class PlatformRequestDecoder:
    """Turns raw requests into those that the gateway serves."""

    def decode(self, raw: RawRequest, now_seconds: float) -> GatewayRequest:
        """
        Interpret a request.

        :param raw: The request.
        :param now_seconds: Monotonic time.
        :raises MalformedRequest: If a header is missing or malformed.
        """
        headers = _headers_by_name(raw)
        request_id = headers.get(REQUEST_ID.lower(), "")
        if not _REQUEST_ID.fullmatch(request_id):
            raise MalformedRequest("the request has no valid id")
        deadline_ms = headers.get(DEADLINE_MS.lower())
        return GatewayRequest(
            request_id=request_id,
            method=raw.method,
            target=raw.target,
            path=urlsplit(raw.target).path or "/",
            host=headers.get("host", ""),
            headers=_passed_on(raw, headers),
            body=raw.body,
            arrived_seconds=now_seconds,
            deadline_seconds=(
                now_seconds + _number(deadline_ms) / _MILLISECONDS_PER_SECOND
                if deadline_ms is not None
                else None
            ),
            key=headers.get(KEY.lower()),
            prompt=_prompt(headers),
            last_event_id=headers.get(LAST_EVENT_ID.lower()),
            connection=raw.connection,
        )


def _headers_by_name(raw: RawRequest) -> dict[str, str]:
    headers: dict[str, str] = {}
    for name, value in raw.headers:
        lowered = name.lower()
        is_repeated = lowered in headers
        if is_repeated and (lowered.startswith(PREFIX) or lowered in SYSTEM_ONLY):
            raise MalformedRequest(f"header {name} came twice")
        headers[lowered] = value
    return headers


def _passed_on(raw: RawRequest, headers: dict[str, str]) -> tuple[tuple[str, str], ...]:
    named = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    named = {name for name in named if not name.startswith(PREFIX)}
    dropped = ONE_CONNECTION | SYSTEM_ONLY | (named - {"host"})
    return tuple(
        (name, value) for name, value in raw.headers if name.lower() not in dropped
    )


def _prompt(headers: dict[str, str]) -> Prompt | None:
    counts = headers.get(TOKEN_COUNTS.lower())
    if counts is None:
        return None
    read, separator, generated = counts.partition(",")
    if not separator:
        raise MalformedRequest("the token counts are not a pair")
    parts = headers.get(PROMPT_PREFIX.lower(), "")
    return Prompt(
        headers.get(MODEL.lower(), ""),
        _number(read.strip()),
        _number(generated.strip()),
        tuple(_part(part) for part in parts.split(",") if part.strip()),
    )


def _part(text: str) -> PromptPart:
    part_id, separator, tokens = text.strip().partition(":")
    if not separator:
        raise MalformedRequest("a part of the prompt has no length")
    return PromptPart(part_id, _number(tokens))


def _number(text: str) -> int:
    if not _DIGITS.fullmatch(text):
        raise MalformedRequest(f"{text!r} is not a number")
    return int(text)
