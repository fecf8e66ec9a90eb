"""Wire format of the weight store."""

from waxwingwinch._types import Address, ModelName, UpstreamId
from waxwingwinch.adapters._calls import (
    json_request,
    platform_exchange,
    platform_value,
)
from waxwingwinch.adapters._wire import make_wire_converter, structure_answer
from waxwingwinch.interfaces import WeightReservation

RESERVATIONS_PATH = "/weights/reservations"


class HttpWeightStore:
    """
    The platform's weight store over HTTP.

    :param address: Where the platform serves.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._converter = make_wire_converter()

    def reserve(
        self, upstream_id: UpstreamId, model: ModelName, version: str
    ) -> WeightReservation:
        """Ask for a turn, see ``WeightStore`` in the interfaces."""
        body = {"upstream_id": upstream_id, "model": model, "version": version}
        request = json_request("POST", RESERVATIONS_PATH, body)
        value = platform_value(platform_exchange(self._address, request))
        return structure_answer(self._converter, value, WeightReservation)
