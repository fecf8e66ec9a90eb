"""Log lines about evacuations of availability zones."""

from waxwingwinch.gateway._log_line import LogLine, log_line


@log_line("zone:evacuated")
class ZoneEvacuated(LogLine):
    """
    The upstreams of an availability zone get no requests from now on.

    :param zone: The availability zone.
    """

    zone: str


@log_line("zone:returned")
class ZoneReturned(LogLine):
    """
    The evacuation of an availability zone has ended.

    :param zone: The availability zone.
    """

    zone: str
