"""Grants of extra tokens that entries may still hold."""

from attrs import evolve, frozen

from waxwingwinch._types import ProcessId


@frozen
class Grant:
    """
    Short-term tokens granted to one holder.

    :param sequence: Increases with each grant of the epoch.
    :param tokens: Number of tokens that may still be unused.
    :param expires_seconds: Monotonic time from which no token of the grant
        can be used.
    """

    sequence: int
    tokens: int
    expires_seconds: float


@frozen
class Demand:
    """
    The latest report of an entry on a customer's request rate.

    :param arrivals_per_second: Request rate at that entry.
    :param reported_seconds: Monotonic time of the report.
    """

    arrivals_per_second: float
    reported_seconds: float


#: Age above which a report of demand no longer counts.
MAX_DEMAND_AGE_SECONDS = 2.0


class OutstandingGrants:
    """Grants of one customer by holder, and the demand that holders report."""

    def __init__(self) -> None:
        self._grants: dict[ProcessId, list[Grant]] = {}
        self._demand: dict[ProcessId, Demand] = {}

    def tokens(self) -> int:
        """Return the largest number of tokens that may be unused."""
        return sum(grant.tokens for grants in self._grants.values() for grant in grants)

    def next_expiry_seconds(self) -> float | None:
        """Return the monotonic time of the next expiry; None if no grants."""
        expiries = [
            grant.expires_seconds
            for grants in self._grants.values()
            for grant in grants
        ]
        return min(expiries, default=None)

    def add_grant(self, holder: ProcessId, grant: Grant) -> None:
        """Count a grant as outstanding."""
        self._grants.setdefault(holder, []).append(grant)

    def remove_expired(self, now_seconds: float) -> None:
        """
        Remove expired grants.

        :param now_seconds: Monotonic time.
        """
        for holder, grants in list(self._grants.items()):
            remaining = [
                grant for grant in grants if grant.expires_seconds > now_seconds
            ]
            self._replace(holder, remaining)

    def reconcile(
        self, holder: ProcessId, received_sequence: int, held_tokens: int
    ) -> None:
        """
        Reduce the outstanding tokens to those that a holder reports unused.

        Delayed and repeated reports are safe: the unused tokens of a grant
        never increase, and grants above the reported sequence stay counted in
        full.

        :param holder: Entry process that sent the report.
        :param received_sequence: Highest grant sequence that the holder has
            received; it accepts no grant up to this sequence any more.
        :param held_tokens: Unused tokens of the grants up to that sequence.
        """
        remaining = []
        remaining_tokens = held_tokens
        # The holder uses its oldest tokens first, so the unused tokens belong
        # to its newest grants.
        for grant in reversed(self._grants.get(holder, [])):
            if grant.sequence <= received_sequence:
                grant = evolve(grant, tokens=min(grant.tokens, remaining_tokens))
                remaining_tokens -= grant.tokens
            if grant.tokens:
                remaining.append(grant)
        self._replace(holder, remaining[::-1])

    def record_demand(self, holder: ProcessId, demand: Demand) -> None:
        """Store a holder's report of demand in place of its earlier one."""
        self._demand[holder] = demand

    def demand_per_second(self, now_seconds: float) -> float:
        """
        Return the total reported request rate over all entries.

        :param now_seconds: Monotonic time.
        """
        oldest_seconds = now_seconds - MAX_DEMAND_AGE_SECONDS
        for holder, demand in list(self._demand.items()):
            if demand.reported_seconds < oldest_seconds:
                del self._demand[holder]
        return sum(demand.arrivals_per_second for demand in self._demand.values())

    def _replace(self, holder: ProcessId, grants: list[Grant]) -> None:
        if grants:
            self._grants[holder] = grants
        else:
            self._grants.pop(holder, None)
