"""The envelope of each record, and the removal of duplicates."""

from typing import Any

from attrs import frozen

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.codec import decode_message, encode_message, message


@message("envelope")
@frozen
class Envelope:
    """
    A record as stored in the log.

    :param writer_id: Unique name of the writer; a restarted writer uses a new
        name.
    :param sequence: Number that grows by at least one with each record of the
        writer.
    :param body: The encoded message.
    """

    writer_id: str
    sequence: int
    body: bytes


def encode_envelope(writer_id: str, sequence: int, body: object) -> bytes:
    """
    Encode a message in an envelope with its writer and sequence number.

    :param body: An instance of a registered message class.
    """
    return encode_message(Envelope(writer_id, sequence, encode_message(body)))


def decode_envelope(payload: bytes) -> tuple[Envelope, Any]:
    """
    Decode a record.

    :returns: The envelope and the message in it.
    :raises MalformedMessage: If the payload is no envelope with a message.
    """
    envelope = decode_message(payload)
    if not isinstance(envelope, Envelope):
        raise MalformedMessage(f"expected an envelope, got {type(envelope).__name__}")
    return envelope, decode_message(envelope.body)


class Deduplicator:
    """
    Filters duplicates out of the records of a stream.

    A writer never sends a record before all earlier records were acknowledged
    or given up. A sequence number at or below the highest one seen from its
    writer therefore marks a duplicate, or a record that the writer gave up
    before it sent a later one.
    """

    def __init__(self) -> None:
        self._highest_by_writer: dict[str, int] = {}

    def accept(self, envelope: Envelope) -> bool:
        """
        Record a sequence number; return False for a duplicate.

        :param envelope: The next record in log order.
        """
        highest = self._highest_by_writer.get(envelope.writer_id, -1)
        if envelope.sequence <= highest:
            return False
        self._highest_by_writer[envelope.writer_id] = envelope.sequence
        return True
