"""Freshness bounds that instances may still use."""

from attrs import define, field, frozen

#: An earlier bound is counted for this many times its own length: once for
#: instances that are fresh by it, once for those that heard these.
EARLIER_BOUND_FACTOR = 2.0


@frozen
class _Earlier:
    """
    A bound that was replaced.

    :param bound_seconds: The bound.
    :param until_seconds: Monotonic time until which it counts.
    """

    bound_seconds: float
    until_seconds: float


@define
class FreshnessBounds:
    """
    Remembers bounds that were replaced not long ago.

    A silent instance may not know yet that the bound was lowered, and then
    stays fresh for longer than the bound in force says.
    """

    _present_seconds: float | None = None
    _earlier: list[_Earlier] = field(factory=list)

    def largest(self, bound_seconds: float, now_seconds: float) -> float:
        """
        Note the bound in force and return the largest that may be in use.

        :param bound_seconds: The bound in force.
        :param now_seconds: Monotonic time.
        """
        present_seconds = self._present_seconds
        if present_seconds is not None and present_seconds != bound_seconds:
            until_seconds = now_seconds + EARLIER_BOUND_FACTOR * present_seconds
            self._earlier.append(_Earlier(present_seconds, until_seconds))
        self._present_seconds = bound_seconds
        self._earlier = [
            item for item in self._earlier if item.until_seconds > now_seconds
        ]
        return max([bound_seconds, *(item.bound_seconds for item in self._earlier)])
