"""Wire format of the intake of usage reports."""

from waxwingwinch._types import Address
from waxwingwinch.adapters._calls import (
    json_request,
    platform_exchange,
    platform_value,
)
from waxwingwinch.adapters._wire import make_wire_converter
from waxwingwinch.http import ORDER_SOCKET_OPTIONS
from waxwingwinch.interfaces import UsageReport

USAGE_REPORTS_PATH = "/usage-reports"


class HttpUsageIntake:
    """
    The platform's usage intake over HTTP.

    :param address: Where the platform serves.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._converter = make_wire_converter()

    def submit(self, report: UsageReport) -> None:
        """Send a report, see ``UsageIntake`` in the interfaces."""
        body = self._converter.unstructure(report)
        request = json_request("POST", USAGE_REPORTS_PATH, body)
        # Only the holder of the duty may report, so the bytes of a killed
        # process must not arrive late either.
        reply = platform_exchange(
            self._address, request, socket_options=ORDER_SOCKET_OPTIONS
        )
        platform_value(reply)
