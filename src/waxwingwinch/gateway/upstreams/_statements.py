"""What upstreams state about themselves: that they leave or are away."""

from collections import OrderedDict

from attrs import evolve, frozen

from waxwingwinch._types import UpstreamId
from waxwingwinch.gateway.upstreams._entry import RegisteredState, Upstream
from waxwingwinch.gateway.upstreams._retention import retain


@frozen
class _Leaving:
    """
    An incarnation of an upstream whose answers say that it leaves.

    :param started_ms: Unix time of the incarnation's start in milliseconds.
    :param is_local: True if an answer to this process was the first to say so.
    """

    started_ms: int
    is_local: bool


@frozen
class _Away:
    """
    An incarnation of an upstream that has turned a request of this process
    away and named the time of its return.

    :param started_ms: Unix time of the incarnation's start in milliseconds.
    :param until_seconds: Monotonic time of the return.
    """

    started_ms: int
    until_seconds: float


class StatementTable:
    """
    The statements of upstreams; its owner holds a lock during each call.

    They are retained after a removal; an entry may lapse and return as ready.
    """

    def __init__(self) -> None:
        self._leaving: OrderedDict[UpstreamId, _Leaving] = OrderedDict()
        self._away: OrderedDict[UpstreamId, _Away] = OrderedDict()

    def record_leaving(
        self, upstream_id: UpstreamId, started_ms: int, is_local: bool
    ) -> bool:
        """
        Record that an upstream leaves.

        :param upstream_id: Id of the upstream.
        :param started_ms: Unix time of the incarnation's start in
            milliseconds.
        :param is_local: True if an answer to this process says so.
        :returns: False if it was known.
        """
        known = self._leaving.get(upstream_id)
        if known is not None and known.started_ms >= started_ms:
            return False
        retain(self._leaving, upstream_id, _Leaving(started_ms, is_local))
        return True

    def local_leaving(self) -> tuple[tuple[UpstreamId, int], ...]:
        """
        Return the upstreams that this process was first told to leave.

        :returns: Pairs of the id and the start of the incarnation, as Unix
            time in milliseconds.
        """
        return tuple(
            (upstream_id, leaving.started_ms)
            for upstream_id, leaving in self._leaving.items()
            if leaving.is_local
        )

    def apply(self, upstream: Upstream) -> Upstream:
        """
        Return an entry with the state that the upstream has stated.

        :param upstream: The entry.
        """
        leaving = self._leaving.get(upstream.upstream_id)
        if leaving is None or leaving.started_ms != upstream.started_ms:
            return upstream
        return evolve(upstream, state=RegisteredState.DRAINING)

    def record_away(
        self, upstream_id: UpstreamId, started_ms: int, until_seconds: float
    ) -> None:
        """
        Record until when an upstream wants no request from this process.

        :param upstream_id: Id of the upstream.
        :param started_ms: Unix time of the incarnation's start in
            milliseconds.
        :param until_seconds: Monotonic time of its return.
        """
        known = self._away.get(upstream_id)
        if known is not None and known.started_ms > started_ms:
            return
        if known is not None and known.started_ms == started_ms:
            until_seconds = max(until_seconds, known.until_seconds)
        retain(self._away, upstream_id, _Away(started_ms, until_seconds))

    def away_until_seconds(self, upstream: Upstream) -> float:
        """
        Return the monotonic time of an upstream's return; 0 if it is here.

        :param upstream: The upstream.
        """
        away = self._away.get(upstream.upstream_id)
        if away is None or away.started_ms != upstream.started_ms:
            return 0.0
        return away.until_seconds
