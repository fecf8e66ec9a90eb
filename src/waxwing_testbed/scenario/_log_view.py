"""What the platform's log holds, read beside the system."""

from typing import Any

from attrs import frozen

from waxwing_testbed.scenario._world import World
from waxwingwinch._exceptions import RecordsExpired
from waxwingwinch._types import Address
from waxwingwinch.adapters import HttpPlatformLog
from waxwingwinch.authority import DUTIES_STREAM, DutyClaim
from waxwingwinch.interfaces import LogRecord
from waxwingwinch.streams import open_envelope, seal

#: How long one operation of the log may take.
LOG_TIMEOUT_SECONDS = 5.0


@frozen
class LoggedMessage:
    """
    A record of a stream.

    :param offset: Its offset.
    :param body: The message in it.
    """

    offset: int
    body: Any


class LogView:
    """
    Reads and appends at the platform itself, past all proxies.

    :param address: The platform.
    """

    def __init__(self, address: Address) -> None:
        self._log = HttpPlatformLog(address)

    def records(self, stream: str) -> tuple[LogRecord, ...]:
        """
        Return the records that the log still holds.

        :param stream: Name of the stream.
        """
        try:
            offset = 0
            page = self._log.read(stream, offset, 0.0, LOG_TIMEOUT_SECONDS)
        except RecordsExpired as error:
            offset = error.first_offset
            page = self._log.read(stream, offset, 0.0, LOG_TIMEOUT_SECONDS)
        records = list(page.records)
        while records and records[-1].offset + 1 < page.end_offset:
            offset = records[-1].offset + 1
            page = self._log.read(stream, offset, 0.0, LOG_TIMEOUT_SECONDS)
            records.extend(page.records)
        return tuple(records)

    def messages(self, stream: str) -> list[LoggedMessage]:
        """
        Return the messages that the log still holds.

        :param stream: Name of the stream.
        """
        return [
            LoggedMessage(record.offset, open_envelope(record.payload)[1])
            for record in self.records(stream)
        ]

    def repeat(self, stream: str, record: LogRecord) -> int:
        """
        Append a record that stood in the log before once more.

        :param stream: Name of the stream.
        :param record: The record, with its old writer and sequence.
        :returns: Offset of the repeat.
        """
        return self._log.append(stream, [record.payload], LOG_TIMEOUT_SECONDS)

    def write(self, stream: str, writer_id: str, body: object) -> int:
        """
        Append a message as a new writer.

        :param stream: Name of the stream.
        :param writer_id: Unique name of the writer.
        :param body: The message.
        :returns: Offset of the record.
        """
        payload = seal(writer_id, 1, body)
        return self._log.append(stream, [payload], LOG_TIMEOUT_SECONDS)


def log_view(world: World) -> LogView:
    """
    Return a view of a deployment's log.

    :param world: The deployment.
    """
    return LogView(world.deployment.places.platform)


def last_claimant(world: World, duty: str) -> str | None:
    """
    Return the instance whose claim of a duty is the latest.

    The latest claim is void if another came just before it; the caller
    waits for what the holder does.

    :param world: The deployment.
    :param duty: Name of the duty.
    """
    messages = log_view(world).messages(DUTIES_STREAM)
    claims = [
        message.body
        for message in messages
        if isinstance(message.body, DutyClaim) and message.body.duty == duty
    ]
    return str(claims[-1].holder) if claims else None
