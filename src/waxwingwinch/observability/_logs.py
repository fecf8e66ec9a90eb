"""Logs without secrets and prompts, bounded in rate."""

import threading
from typing import IO, Any

import eliot
from attrs import define, frozen
from eliot import FileDestination

from waxwingwinch.kernel import Clock

#: Messages of one type that may be logged in a row.
MESSAGE_BURST = 50.0
#: Messages of one type that may be logged each second.
MESSAGES_PER_SECOND = 5.0
#: Longest logged text of one field.
FIELD_CHARACTERS_MAX = 500
#: Message types with a rate of their own; all others share one.
MESSAGE_TYPES_MAX = 200
#: Written in place of a value that must not be logged.
REDACTED = "[redacted]"
#: Fields whose names contain one of these are never written.
SECRET_NAMES = (
    "authorization",
    "api_key",
    "body",
    "cookie",
    "messages",
    "prompt",
    "secret",
    "token",
)
#: Fields that may be written although their names look secret.
HARMLESS_NAMES = frozenset(
    {"prompt_tokens", "output_tokens", "max_tokens", "body_bytes", "token_index"}
)


@define
class _TypeRate:
    """
    The rate of one message type.

    :param messages: Messages that may be written now.
    :param filled_seconds: Monotonic time of the last refill.
    :param dropped: Messages dropped since the last one written.
    """

    messages: float
    filled_seconds: float
    dropped: int = 0


@frozen
class LogVerdict:
    """
    Whether a message is written.

    :param written: True if it is.
    :param dropped_before: Messages of its type dropped since the last one
        written.
    """

    written: bool
    dropped_before: int


class RateBound:
    """
    Bounds the messages of each type.

    :param messages_per_second: Messages of one type in the long run.
    """

    def __init__(self, messages_per_second: float = MESSAGES_PER_SECOND) -> None:
        self._messages_per_second = messages_per_second
        self._rates: dict[str, _TypeRate] = {}
        self._lock = threading.Lock()

    def judge(self, message_type: str, now_seconds: float) -> LogVerdict:
        """
        Decide whether a message is written.

        :param message_type: Its type.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            rate = self._rate(message_type, now_seconds)
            refill = (now_seconds - rate.filled_seconds) * self._messages_per_second
            rate.messages = min(MESSAGE_BURST, rate.messages + refill)
            rate.filled_seconds = now_seconds
            if rate.messages < 1.0:
                rate.dropped += 1
                return LogVerdict(False, 0)
            rate.messages -= 1.0
            dropped, rate.dropped = rate.dropped, 0
            return LogVerdict(True, dropped)

    def _rate(self, message_type: str, now_seconds: float) -> _TypeRate:
        if message_type not in self._rates and len(self._rates) >= MESSAGE_TYPES_MAX:
            message_type = ""
        default = _TypeRate(MESSAGE_BURST, now_seconds)
        return self._rates.setdefault(message_type, default)


def without_secrets(fields: dict[str, Any]) -> dict[str, Any]:
    """
    Return the fields of a message with secrets and prompts removed.

    :param fields: Field values by name.
    """
    return {name: _safe(name, value) for name, value in fields.items()}


def _safe(name: str, value: Any) -> Any:
    lowered = name.lower()
    if lowered not in HARMLESS_NAMES and any(part in lowered for part in SECRET_NAMES):
        return REDACTED
    if isinstance(value, dict):
        return without_secrets(value)
    if isinstance(value, str):
        return value[:FIELD_CHARACTERS_MAX]
    return value


class LogDestination:
    """
    The eliot destination of a process.

    :param file: Where messages are written, one JSON object a line.
    :param clock: Source of the present time.
    :param messages_per_second: Messages of one type in the long run.
    """

    def __init__(
        self,
        file: IO[Any],
        clock: Clock,
        messages_per_second: float = MESSAGES_PER_SECOND,
    ) -> None:
        self._write = FileDestination(file=file)
        self._clock = clock
        self._bound = RateBound(messages_per_second)

    def __call__(self, message: dict[str, Any]) -> None:
        """
        Write a message, unless its type exceeds its rate.

        :param message: The message as eliot gives it.
        """
        message_type = message.get("message_type") or message.get("action_type") or ""
        verdict = self._bound.judge(str(message_type), self._clock.now_seconds())
        if not verdict.written:
            return
        safe = without_secrets(message)
        if verdict.dropped_before:
            safe["dropped_before"] = verdict.dropped_before
        self._write(safe)


def set_up_logs(
    file: IO[Any],
    clock: Clock,
    messages_per_second: float = MESSAGES_PER_SECOND,
) -> LogDestination:
    """
    Send all eliot messages of the process to a file.

    :param file: For example ``sys.stderr``.
    :param clock: Source of the present time.
    :param messages_per_second: Messages of one type in the long run.
    :returns: The destination, for :func:`eliot.remove_destination`.
    """
    destination = LogDestination(file, clock, messages_per_second)
    eliot.add_destinations(destination)
    return destination
