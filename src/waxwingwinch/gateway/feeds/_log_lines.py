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
