"""The platform's rate-limited store of model weights."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import ModelName, UpstreamId


@frozen
class WeightReservation:
    """
    Leave to load weights.

    :param starts_in_seconds: Time until the load may begin.
    :param takes_seconds: Expected length of the load.
    """

    starts_in_seconds: float
    takes_seconds: float


class WeightStore(Protocol):
    """Hands out turns for loading weights."""

    def reserve(
        self, upstream_id: UpstreamId, model: ModelName, version: str
    ) -> WeightReservation:
        """
        Ask for a turn.

        :raises PlatformRefused: If the store is busy, with the time to come
            back.
        :raises PlatformUnavailable: If no answer came.
        """
