"""Short-term tokens that entries may still hold."""

from attrs import evolve, frozen

from waxwingwinch._types import ProcessId


@frozen
class Grant:
    """
    Tokens given to one holder.

    :param sequence: Grows with each grant of the epoch.
    :param tokens: Those that may still be unused.
    :param lapse_seconds: Monotonic time from which none can be used.
    """

    sequence: int
    tokens: int
    expires_seconds: float


@frozen
class Demand:
    """
    What an entry last said about a customer's arrivals.

    :param arrivals_per_second: Arrivals at that entry.
    :param reported_seconds: Monotonic time of the report.
    """

    arrivals_per_second: float
    reported_seconds: float


#: Age at which a report of demand no longer counts.
MAX_DEMAND_AGE_SECONDS = 2.0


class OutstandingGrants:
    """Grants of one customer by holder, and the demand reported with them."""

    def __init__(self) -> None:
        self._grants: dict[ProcessId, list[Grant]] = {}
        self._demand: dict[ProcessId, Demand] = {}

    def tokens(self) -> int:
        """Return the most that can be unused."""
        return sum(grant.tokens for grants in self._grants.values() for grant in grants)

    def next_expiry_seconds(self) -> float | None:
        """Return when the next grant lapses."""
        expiries = [
            grant.expires_seconds
            for grants in self._grants.values()
            for grant in grants
        ]
        return min(expiries, default=None)

    def add_grant(self, holder: ProcessId, grant: Grant) -> None:
        """Count a grant."""
        self._grants.setdefault(holder, []).append(grant)

    def remove_expired(self, now_seconds: float) -> None:
        """
        Forget lapsed grants.

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
        Note how many tokens a holder had left.

        Right for late and repeated statements too: tokens are only ever
        used, and grants above the named sequence stay counted in full.

        :param holder: Who says so.
        :param received_sequence: No grant up to it is accepted any more.
        :param held_tokens: Unused ones of the grants up to it.
        """
        remaining = []
        remaining_tokens = held_tokens
        # The holder uses the oldest first, so what is left is the newest.
        for grant in reversed(self._grants.get(holder, [])):
            if grant.sequence <= received_sequence:
                grant = evolve(grant, tokens=min(grant.tokens, remaining_tokens))
                remaining_tokens -= grant.tokens
            if grant.tokens:
                remaining.append(grant)
        self._replace(holder, remaining[::-1])

    def record_demand(self, holder: ProcessId, demand: Demand) -> None:
        """Keep the newest report of demand of a holder."""
        self._demand[holder] = demand

    def demand_per_second(self, now_seconds: float) -> float:
        """
        Return the arrivals over all entries.

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
