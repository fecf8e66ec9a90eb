"""Freshness bounds that instances may still be using."""

from attrs import define, field, frozen

#: A replaced bound counts for this many times its own length: an instance that
#: hasn't read the new bound may stay fresh for the old one, and its last
#: message may keep another instance fresh for the old bound again.
REPLACED_BOUND_FACTOR = 2.0


@frozen
class _ReplacedBound:
    """
    A freshness bound that was replaced.

    :param bound_seconds: The bound.
    :param expires_seconds: Monotonic time until which it counts.
    """

    bound_seconds: float
    expires_seconds: float


@define
class FreshnessBounds:
    """
    Tracks the bound in force and recently replaced bounds.

    An instance without contact may not know yet that the bound was lowered;
    it then counts itself as fresh for longer than the bound in force.
    """

    _current_seconds: float | None = None
    _replaced_bounds: list[_ReplacedBound] = field(factory=list)

    def update_and_get_largest(self, bound_seconds: float, now_seconds: float) -> float:
        """
        Record the bound in force and return the largest bound still in use.

        :param bound_seconds: The bound in force.
        :param now_seconds: Monotonic time.
        """
        current_seconds = self._current_seconds
        if current_seconds is not None and current_seconds != bound_seconds:
            expires_seconds = now_seconds + REPLACED_BOUND_FACTOR * current_seconds
            self._replaced_bounds.append(
                _ReplacedBound(current_seconds, expires_seconds)
            )
        self._current_seconds = bound_seconds
        self._replaced_bounds = [
            item for item in self._replaced_bounds if item.expires_seconds > now_seconds
        ]
        return max(
            [bound_seconds, *(item.bound_seconds for item in self._replaced_bounds)]
        )
