"""Interface to the platform's rate-limited store of model weights."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import ModelName, UpstreamId


@frozen
class WeightReservation:
    """
    Reservation of a time slot for loading weights.

    :param starts_in_seconds: Time until loading may start.
    :param takes_seconds: Expected duration of loading.
    """

    starts_in_seconds: float
    takes_seconds: float


class WeightStore(Protocol):
    """Client of the store, which reserves time slots for loading weights."""

    def reserve(
        self, upstream_id: UpstreamId, model: ModelName, version: str
    ) -> WeightReservation:
        """
        Reserve a time slot for an engine.

        :raises PlatformRefused: If the store is busy, with the time after
            which to retry.
        :raises PlatformUnavailable: If no valid response was received.
        """
