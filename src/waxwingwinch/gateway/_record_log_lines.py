"""Log lines about records of the platform's store."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("store:record_skipped")
class RecordSkipped(LogLine):
    """
    A record was not applied, since applying it failed unexpectedly.

    :param topic: The topic.
    :param key: Key of the record, shortened.
    :param offset: Offset of the record.
    :param reason: The error, shortened.
    """

    topic: str
    key: str
    offset: int
    reason: str
