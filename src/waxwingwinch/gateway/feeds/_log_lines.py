"""Log lines about what instances pass on of the store."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("store:page_malformed")
class PageMalformed(LogLine):
    """
    Records that another instance passed on can't be decompressed.

    :param topic: The topic.
    :param reason: The error or condition observed.
    """

    topic: str
    reason: str


@log_line("store:reader")
class ReaderChanged(LogLine):
    """
    Another instance reads a topic of the store for this one from now on.

    :param topic: The topic.
    :param reader: The instance that reads the store; ``self`` for this one.
    :param passed_on_by: The instance that sent the records; ``self`` if none.
    :param age_seconds: Time since the read of the newest records.
    :param former: The reader before; None at the first read.
    :param former_seconds: Time for which it was the reader.
    :param silent_seconds: Time since its last newer records.
    """

    topic: str
    reader: str
    passed_on_by: str
    age_seconds: float
    former: str | None
    former_seconds: float | None
    silent_seconds: float | None
