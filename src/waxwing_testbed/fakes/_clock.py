"""A clock that moves only when told to."""


class ManualClock:
    """
    A clock for tests.

    :param start_seconds: The first present time.
    """

    def __init__(self, start_seconds: float = 1_000.0) -> None:
        #: The present time.
        self.seconds = start_seconds

    def now_seconds(self) -> float:
        """Return the present time."""
        return self.seconds

    def wall_seconds(self) -> float:
        """Return the present time."""
        return self.seconds

    def advance(self, seconds: float) -> None:
        """
        Move the present time.

        :param seconds: By how much.
        """
        self.seconds += seconds
