"""Log output with secrets and prompts redacted, and limited in rate."""

import threading
from typing import IO, Any

import eliot
from attrs import define, frozen
from eliot import FileDestination

from waxwingwinch.kernel import Clock

#: Burst limit: messages of one type that may be logged at once.
MESSAGE_BURST = 50.0
#: Long-term rate limit of one message type, in messages per second.
MESSAGES_PER_SECOND = 5.0
#: Longer field texts are truncated to this length.
MAX_FIELD_CHARACTERS = 500
#: Maximum number of message types with separate rate limits; all further
#: types share one limit.
MAX_MESSAGE_TYPES = 200
#: Replaces a value that must not be logged.
REDACTED = "[redacted]"
#: Values of fields whose names contain one of these words are redacted.
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
#: Fields that are logged although their names contain one of ``SECRET_NAMES``.
ALLOWED_NAMES = frozenset(
    {"prompt_tokens", "output_tokens", "max_tokens", "body_bytes", "token_index"}
)


@define
class _MessageBucket:
    """
    Token bucket of one message type.

    :param available_messages: Number of messages that may be written now.
    :param refilled_seconds: Monotonic time of the last refill.
    :param dropped: Number of messages dropped since the last written message.
    """

    available_messages: float
    refilled_seconds: float
    dropped: int = 0


@frozen
class RateLimitDecision:
    """
    Decision whether a message is written.

    :param is_written: True if the message is written.
    :param dropped_before: Number of messages of the same type dropped since
        the last written message.
    """

    is_written: bool
    dropped_before: int


class MessageRateLimiter:
    """
    Limits the rate of messages of each type.

    :param messages_per_second: Long-term rate limit of one message type.
    """

    def __init__(self, messages_per_second: float = MESSAGES_PER_SECOND) -> None:
        self._messages_per_second = messages_per_second
        self._buckets: dict[str, _MessageBucket] = {}
        self._lock = threading.Lock()

    def decide(self, message_type: str, now_seconds: float) -> RateLimitDecision:
        """
        Decide whether a message is written.

        :param message_type: Type of the message.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            bucket = self._bucket(message_type, now_seconds)
            refill = (now_seconds - bucket.refilled_seconds) * self._messages_per_second
            bucket.available_messages = min(
                MESSAGE_BURST, bucket.available_messages + refill
            )
            bucket.refilled_seconds = now_seconds
            if bucket.available_messages < 1.0:
                bucket.dropped += 1
                return RateLimitDecision(False, 0)
            bucket.available_messages -= 1.0
            dropped, bucket.dropped = bucket.dropped, 0
            return RateLimitDecision(True, dropped)

    def _bucket(self, message_type: str, now_seconds: float) -> _MessageBucket:
        if (
            message_type not in self._buckets
            and len(self._buckets) >= MAX_MESSAGE_TYPES
        ):
            message_type = ""
        default = _MessageBucket(MESSAGE_BURST, now_seconds)
        return self._buckets.setdefault(message_type, default)


def redact_fields(fields: dict[str, Any]) -> dict[str, Any]:
    """
    Return the fields of a message with secrets and prompts redacted.

    :param fields: Field values by name.
    """
    return {name: _redact_value(name, value) for name, value in fields.items()}


def _redact_value(name: str, value: Any) -> Any:
    lowered = name.lower()
    if lowered not in ALLOWED_NAMES and any(part in lowered for part in SECRET_NAMES):
        return REDACTED
    if isinstance(value, dict):
        return redact_fields(value)
    if isinstance(value, str):
        return value[:MAX_FIELD_CHARACTERS]
    return value


class LogDestination:
    """
    The eliot destination of a process.

    :param file: File for the messages, one JSON object per line.
    :param clock: Source of the current time.
    :param messages_per_second: Long-term rate limit of one message type.
    """

    def __init__(
        self,
        file: IO[Any],
        clock: Clock,
        messages_per_second: float = MESSAGES_PER_SECOND,
    ) -> None:
        self._write = FileDestination(file=file)
        self._clock = clock
        self._rate_limiter = MessageRateLimiter(messages_per_second)

    def __call__(self, message: dict[str, Any]) -> None:
        """
        Write a message, unless its type exceeds the rate limit.

        :param message: The message as passed by eliot.
        """
        message_type = message.get("message_type") or message.get("action_type") or ""
        decision = self._rate_limiter.decide(
            str(message_type), self._clock.now_seconds()
        )
        if not decision.is_written:
            return
        redacted_fields = redact_fields(message)
        if decision.dropped_before:
            redacted_fields["dropped_before"] = decision.dropped_before
        self._write(redacted_fields)


def set_up_logs(
    file: IO[Any],
    clock: Clock,
    messages_per_second: float = MESSAGES_PER_SECOND,
) -> LogDestination:
    """
    Send all eliot messages of the process to a file.

    :param file: The output file, for example ``sys.stderr``.
    :param clock: Source of the current time.
    :param messages_per_second: Long-term rate limit of one message type.
    :returns: The destination, for :func:`eliot.remove_destination`.
    """
    destination = LogDestination(file, clock, messages_per_second)
    eliot.add_destinations(destination)
    return destination
