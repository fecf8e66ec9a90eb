"""The frame around each record, and the dropping of repeats."""

from typing import Any

from attrs import frozen

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.codec import decode_message, encode_message, message


@message("envelope")
@frozen
class Envelope:
    """
    A record as it stands in the log.

    :param writer_id: Unique name of the writer; a restart takes a new one.
    :param sequence: Grows by at least one with each record of the writer.
    :param body: The encoded message.
    """

    writer_id: str
    sequence: int
    body: bytes


def seal(writer_id: str, sequence: int, body: object) -> bytes:
    """
    Encode a message with its writer and sequence.

    :param body: An instance of a registered message class.
    """
    return encode_message(Envelope(writer_id, sequence, encode_message(body)))


def open_envelope(payload: bytes) -> tuple[Envelope, Any]:
    """
    Decode a record.

    :returns: The envelope and the message in it.
    :raises MalformedMessage: If the payload is not a sealed message.
    """
    envelope = decode_message(payload)
    if not isinstance(envelope, Envelope):
        raise MalformedMessage(f"expected an envelope, got {type(envelope).__name__}")
    return envelope, decode_message(envelope.body)


class Deduplicator:
    """
    Tells first occurrences of records from repeats.

    A writer never sends a record before all earlier ones were acknowledged
    or given up. A sequence at or below the highest one seen is therefore a
    repeat, or a record that its writer gave up and superseded.
    """

    def __init__(self) -> None:
        self._highest_by_writer: dict[str, int] = {}

    def is_first(self, envelope: Envelope) -> bool:
        """
        Note a record and tell whether to apply it.

        :param envelope: The next record in log order.
        """
        highest = self._highest_by_writer.get(envelope.writer_id, -1)
        if envelope.sequence <= highest:
            return False
        self._highest_by_writer[envelope.writer_id] = envelope.sequence
        return True
