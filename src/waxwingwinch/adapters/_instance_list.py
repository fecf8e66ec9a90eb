"""Wire format of the list of instances."""

from waxwingwinch._types import Address
from waxwingwinch.adapters._calls import (
    json_request,
    platform_poll,
    platform_value,
)
from waxwingwinch.adapters._wire import make_wire_converter, structure_answer
from waxwingwinch.interfaces import ListedInstance

INSTANCES_PATH = "/instances"


class HttpInstanceList:
    """
    The platform's list of instances over HTTP.

    :param address: Where the platform serves.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._converter = make_wire_converter()

    def list_instances(self) -> tuple[ListedInstance, ...]:
        """Return the list, see ``InstanceList`` in the interfaces."""
        reply = platform_poll(self._address, json_request("GET", INSTANCES_PATH))
        value = platform_value(reply)
        return structure_answer(self._converter, value, tuple[ListedInstance, ...])
