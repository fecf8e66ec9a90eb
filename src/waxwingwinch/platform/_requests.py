"""Decoding callers' requests from the platform's headers."""

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
    HEADER_PREFIX,
    HOP_BY_HOP_HEADERS,
    KEY,
    LAST_EVENT_ID,
    MODEL,
    PROMPT_PREFIX,
    REQUEST_ID,
    RESERVED_HEADERS,
    TOKEN_COUNTS,
)

_MILLISECONDS_PER_SECOND = 1_000
_REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")
_DIGITS = re.compile(r"[0-9]{1,15}")


class PlatformRequestDecoder:
    """Decodes raw HTTP requests into gateway requests."""

    def decode(self, raw: RawRequest, now_seconds: float) -> GatewayRequest:
        """
        Decode a request.

        :param raw: The HTTP request as received.
        :param now_seconds: Monotonic time of its arrival.
        :raises MalformedRequest: If a required header is missing, a header is
            malformed or repeated, or the target is malformed.
        """
        headers = _headers_by_name(raw)
        request_id = headers.get(REQUEST_ID.lower(), "")
        if not _REQUEST_ID.fullmatch(request_id):
            raise MalformedRequest(
                f"header {REQUEST_ID} is missing or is not 1 to 128 printable"
                " ASCII characters"
            )
        deadline_ms = headers.get(DEADLINE_MS.lower())
        return GatewayRequest(
            request_id=request_id,
            method=raw.method,
            target=raw.target,
            path=_parse_path(raw.target),
            host=headers.get("host", ""),
            headers=_forwarded_headers(raw, headers),
            body=raw.body,
            arrived_seconds=now_seconds,
            deadline_seconds=(
                now_seconds + _parse_count(deadline_ms) / _MILLISECONDS_PER_SECOND
                if deadline_ms is not None
                else None
            ),
            key=headers.get(KEY.lower()),
            prompt=_parse_prompt(headers),
            last_event_id=headers.get(LAST_EVENT_ID.lower()),
            connection=raw.connection,
            reservation=raw.reservation,
        )


def _parse_path(target: str) -> str:
    try:
        return urlsplit(target).path or "/"
    except ValueError as error:
        raise MalformedRequest(f"malformed request target: {error}") from error


def _headers_by_name(raw: RawRequest) -> dict[str, str]:
    headers: dict[str, str] = {}
    for name, value in raw.headers:
        lowered = name.lower()
        is_repeated = lowered in headers
        if is_repeated and (
            lowered.startswith(HEADER_PREFIX) or lowered in RESERVED_HEADERS
        ):
            raise MalformedRequest(f"header {name} is repeated")
        headers[lowered] = value
    return headers


def _forwarded_headers(
    raw: RawRequest, headers: dict[str, str]
) -> tuple[tuple[str, str], ...]:
    connection_options = {
        name.strip().lower() for name in headers.get("connection", "").split(",")
    }
    connection_options = {
        name for name in connection_options if not name.startswith(HEADER_PREFIX)
    }
    dropped = HOP_BY_HOP_HEADERS | RESERVED_HEADERS | (connection_options - {"host"})
    return tuple(
        (name, value) for name, value in raw.headers if name.lower() not in dropped
    )


def _parse_prompt(headers: dict[str, str]) -> Prompt | None:
    counts = headers.get(TOKEN_COUNTS.lower())
    if counts is None:
        return None
    prompt_count, separator, output_count = counts.partition(",")
    if not separator:
        raise MalformedRequest(
            f"header {TOKEN_COUNTS} is not a pair of numbers: {counts!r}"
        )
    parts = headers.get(PROMPT_PREFIX.lower(), "")
    return Prompt(
        headers.get(MODEL.lower(), ""),
        _parse_count(prompt_count.strip()),
        _parse_count(output_count.strip()),
        tuple(_parse_prompt_part(part) for part in parts.split(",") if part.strip()),
    )


def _parse_prompt_part(text: str) -> PromptPart:
    part_id, separator, tokens = text.strip().partition(":")
    if not separator:
        raise MalformedRequest(f"prompt part {text!r} is not of the form ID:TOKENS")
    return PromptPart(part_id, _parse_count(tokens))


def _parse_count(text: str) -> int:
    if not _DIGITS.fullmatch(text):
        raise MalformedRequest(f"expected a number of 1 to 15 digits, got {text!r}")
    return int(text)
