"""Bound on large pages that an instance sends at the same time."""

#: Rate at which large pages are sent: four fifths of the slowest links of
#: instances, 5 Mbit/s.
LARGE_PAGE_BYTES_PER_SECOND = 500_000.0
#: Bytes of large pages that may be sent at once. They take 0.4 s on such a
#: link, less than the time-out of an exchange, which is 0.6 s.
LARGE_PAGE_BURST_BYTES = 250_000.0


class LargePageBudget:
    """
    Spreads large pages over time.

    All readers ask for a new configuration within one interval of exchanges.
    Pages that share a slow link all arrive after the time-out of the exchange
    and are asked for again; in turn each arrives in time.
    """

    def __init__(self) -> None:
        self._level_bytes = LARGE_PAGE_BURST_BYTES
        self._updated_seconds: float | None = None

    def take(self, page_bytes: int, now_seconds: float) -> bool:
        """
        Tell whether a page may be sent now, and if so, count it.

        A page that is longer than the burst may be sent if none was sent
        shortly before.

        :param page_bytes: Length of the page.
        :param now_seconds: Monotonic time.
        """
        if self._updated_seconds is not None:
            elapsed_seconds = max(now_seconds - self._updated_seconds, 0.0)
            refilled_bytes = (
                self._level_bytes + elapsed_seconds * LARGE_PAGE_BYTES_PER_SECOND
            )
            self._level_bytes = min(refilled_bytes, LARGE_PAGE_BURST_BYTES)
        self._updated_seconds = now_seconds
        if self._level_bytes < min(page_bytes, LARGE_PAGE_BURST_BYTES):
            return False
        self._level_bytes -= page_bytes
        return True
