"""Customers' quotas over all instances, enforced without remote calls."""

import math
import threading
from collections.abc import Mapping

from attrs import define, field, frozen

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._model import CustomerRules
from waxwingwinch.gateway._quota_bucket import LateUsage, QuotaBucket
from waxwingwinch.gateway._routes import stable_hash
from waxwingwinch.gateway._silence import silence_limit_seconds

#: Fraction of the tolerated overshoot that may be used; the rest covers what
#: other instances admit before their reports arrive.
SLACK_FRACTION = 0.5
#: Time for which a silent peer without a record in the platform's store is
#: assumed to serve requests; longer than a planned stop takes.
PEER_EXPIRY_SECONDS = 15.0
#: Fraction of each quota that a process may use before it has read the records
#: of its peers; deployments have a hundred instances or fewer.
UNKNOWN_PEERS_FRACTION = 0.01
#: Time after the start of a process in which it connects to its peers.
PEER_CONNECT_SECONDS = 2.0
#: Time until the peers have received the report of an admission.
PROPAGATION_SECONDS = 0.3
#: Silence after which a peer's consumption is assumed instead of taken from
#: its reports.
PEER_SILENCE_SECONDS = 1.0
#: Interval at which the share of the rate is looked at between requests.
ADVANCE_SECONDS = 0.1
#: Silence of at least half of the instances after which this process counts as
#: cut off from them.
CONTACT_SECONDS = 0.6


@frozen
class _Contact:
    """
    Whether this process is in contact with most of the others.

    :param share: Fraction of the instances that it hears, itself included;
        1 while these are more than half of them.
    :param last_seconds: Monotonic time at which it last heard as many.
    """

    share: float
    last_seconds: float


@define
class _Peer:
    """
    Units that a peer has admitted.

    :param last_message_seconds: Monotonic time of its last message; None if
        only its record is known.
    :param totals: Admitted units by customer since the peer's start.
    :param heard_shared_seconds: Time of its last message, in the seconds of
        :class:`QuotaBucket`.
    """

    last_message_seconds: float | None
    totals: dict[CustomerId, float] = field(factory=dict)
    heard_shared_seconds: float = 0.0

    def silent_seconds(self, now_seconds: float) -> float:
        """
        Return the time since the last message; infinite if there was none.

        :param now_seconds: Monotonic time.
        """
        if self.last_message_seconds is None:
            return math.inf
        return now_seconds - self.last_message_seconds


@frozen
class OverQuota:
    """
    Details of a request that exceeds its customer's quota.

    :param wait_seconds: Estimated time until the quota admits the request.
    :param used_units: Units used and not refilled by the rate yet.
    :param share: Fraction of the rate not assigned to silent peers.
    :param silent_peers: Number of silent peers, which are assumed to use the
        rest.
    """

    wait_seconds: float
    used_units: float
    share: float
    silent_peers: int


class QuotaTracker:
    """
    Decides whether a customer's request is within its quota.

    Each process keeps a token bucket for all instances together. It charges
    local requests immediately and those of its peers when their reports
    arrive. A silent peer is assumed to use an equal share of each rate as long
    as it has a record, because a broken link and a dead peer can't be told
    apart. A peer without any message so far is assumed to use an equal share
    of each burst as well. A process that hears less than half of the others is
    probably the one that is cut off, and uses the share of those that it hears
    of each burst and of the tolerated overshoot, too: the others keep nothing
    of them for few silent peers.

    :param local_name: Incarnation of this process, by which peers know it.
    :param slack_units: Units by which the quota may be exceeded for a short
        time.
    :param starts_full: True if the buckets start full, because no gateway
        process has run before that could have used a quota.
    :param now_seconds: Monotonic time of the process start.
    """

    def __init__(
        self,
        local_name: str,
        slack_units: float,
        starts_full: bool,
        now_seconds: float,
    ) -> None:
        self._started_seconds = now_seconds
        #: Seconds of the whole rate since the start, and until when.
        self._shared_seconds = 0.0
        self._advanced_seconds = now_seconds
        self._local_name = local_name
        self._overshoot_units = slack_units * SLACK_FRACTION
        self._starts_full = starts_full
        self._buckets: dict[CustomerId, QuotaBucket] = {}
        self._peers: dict[str, _Peer] = {}
        #: Incarnations with a record; None until the records were read.
        self._recorded_peers: frozenset[str] | None = None
        self._silence_limit_seconds = PEER_SILENCE_SECONDS
        self._contact_limit_seconds = CONTACT_SECONDS
        self._lock = threading.Lock()

    def set_slack(self, slack_units: float) -> None:
        """
        Change the tolerated overshoot.

        :param slack_units: Units by which the quota may be exceeded for a
            short time.
        """
        with self._lock:
            self._overshoot_units = slack_units * SLACK_FRACTION

    def set_recorded_peers(self, peers: frozenset[str]) -> bool:
        """
        Set which peers have a record in the platform's store.

        :param peers: Their incarnations, with or without messages so far.
        :returns: True if the set of peers has changed.
        """
        with self._lock:
            has_changed = peers != self._recorded_peers
            self._recorded_peers = peers
            self._silence_limit_seconds = silence_limit_seconds(
                PEER_SILENCE_SECONDS, len(peers) + 1
            )
            self._contact_limit_seconds = silence_limit_seconds(
                CONTACT_SECONDS, len(peers) + 1
            )
            for peer in peers:
                self._peers.setdefault(peer, _Peer(None))
            return has_changed

    def admit(
        self, customer: CustomerRules, cost: float, now_seconds: float
    ) -> OverQuota | None:
        """
        Charge the cost of a request to its customer's quota.

        :param customer: The customer.
        :param cost: Units charged for the request.
        :param now_seconds: Monotonic time.
        :returns: None if the request is within the quota.
        """
        if customer.rate_per_second <= 0:
            return None
        with self._lock:
            self._remove_expired_peers(now_seconds)
            self._advance(now_seconds)
            contact = self._contact(now_seconds)
            share = self._share(contact, now_seconds)
            burst_share = min(self._unknown_share(), contact.share)
            bucket = self._refill(customer, contact)
            # A request needs its cost less the tolerated overshoot, plus what
            # processes of lower rank may admit until their reports arrive. A
            # request above the burst needs a full bucket.
            needed = cost - self._overshoot_units * burst_share
            propagation_units = min(
                customer.rate_per_second * PROPAGATION_SECONDS, cost
            )
            needed += (
                self._admission_rank(customer.customer_id, now_seconds)
                * propagation_units
            )
            needed = min(needed, customer.burst * burst_share)
            level = customer.burst * self._unknown_share() - bucket.used
            level -= bucket.withheld
            if level < needed:
                return OverQuota(
                    (needed - level) / (customer.rate_per_second * share),
                    bucket.used,
                    share,
                    self._silent_count(now_seconds),
                )
            bucket.used += cost
            bucket.local_total += cost
            bucket.recent.append((now_seconds, cost))
            return None

    def share(self, now_seconds: float) -> float:
        """
        Return the fraction of each quota not assigned to silent peers.

        At most ``UNKNOWN_PEERS_FRACTION`` until the peers' records were read.

        :param now_seconds: Monotonic time.
        """
        with self._lock:
            return self._share(self._contact(now_seconds), now_seconds)

    def level(self, customer: CustomerRules, now_seconds: float) -> float | None:
        """
        Return the units available to a customer; None if it has no rate.

        The result is negative while more than the burst has been used.

        :param customer: The customer.
        :param now_seconds: Monotonic time.
        """
        if customer.rate_per_second <= 0:
            return None
        with self._lock:
            self._advance(now_seconds)
            bucket = self._refill(customer, self._contact(now_seconds))
            units = customer.burst * self._unknown_share()
            return units - bucket.used - bucket.withheld

    def refund(self, customer: CustomerRules, cost: float) -> None:
        """
        Refund the cost of a request that no upstream executes.

        :param customer: The customer.
        :param cost: Units that were charged.
        """
        with self._lock:
            bucket = self._buckets.get(customer.customer_id)
            if bucket is not None:
                bucket.used = max(bucket.used - cost, 0.0)
                bucket.local_total -= cost

    def record_totals(
        self, peer: str, totals: dict[CustomerId, float], now_seconds: float
    ) -> None:
        """
        Record the units that a peer has admitted since its start.

        :param peer: Incarnation of the peer.
        :param totals: Admitted units by customer; unchanged totals may be
            omitted.
        :param now_seconds: Monotonic time.
        """
        with self._lock:
            if now_seconds - self._advanced_seconds >= ADVANCE_SECONDS:
                self._advance(now_seconds)
            known = self._peers.get(peer)
            if known is None:
                known = _Peer(now_seconds)
                self._peers[peer] = known
                if now_seconds - self._started_seconds < PEER_CONNECT_SECONDS:
                    # The peer may have admitted these units before this
                    # process started.
                    known.totals = totals
            if known.last_message_seconds is not None:
                self._add_peer_usage(known, totals, now_seconds)
            # The peers that never sent a message were assumed to use a share.
            known.last_message_seconds = now_seconds
            known.heard_shared_seconds = self._shared_seconds
            known.totals = known.totals | totals

    def confirm_unchanged(self, made_seconds: Mapping[str, float]) -> None:
        """
        Record that the totals of peers are unchanged since their last report.

        :param made_seconds: Monotonic times at which the unchanged reports
            were made, by incarnation.
        """
        with self._lock:
            for peer, at_seconds in made_seconds.items():
                known = self._peers.get(peer)
                if known is not None and known.last_message_seconds is not None:
                    known.last_message_seconds = max(
                        known.last_message_seconds, at_seconds
                    )
                    known.heard_shared_seconds = self._shared_seconds

    def _add_peer_usage(
        self, known: _Peer, totals: dict[CustomerId, float], now_seconds: float
    ) -> None:
        silent_seconds = known.silent_seconds(now_seconds)
        assumed_seconds = (silent_seconds - self._silence_limit_seconds) / (
            len(self._peers) + 1
        )
        for customer_id, total in totals.items():
            used = total - known.totals.get(customer_id, 0.0)
            if not used:
                continue
            bucket = self._bucket(customer_id, known.heard_shared_seconds)
            if assumed_seconds > 0.0:
                bucket.late.append(
                    LateUsage(used, assumed_seconds, known.heard_shared_seconds)
                )
            else:
                bucket.used = max(bucket.used + used, 0.0)

    def _remove_expired_peers(self, now_seconds: float) -> None:
        """Remove long silent peers without a record of their incarnation."""
        expired = [
            peer
            for peer, known in self._peers.items()
            if known.silent_seconds(now_seconds) >= PEER_EXPIRY_SECONDS
            and peer not in (self._recorded_peers or ())
        ]
        for peer in expired:
            del self._peers[peer]

    def local_totals(self) -> dict[CustomerId, float]:
        """Return the units that this process has admitted, by customer."""
        with self._lock:
            return {
                customer_id: bucket.local_total
                for customer_id, bucket in self._buckets.items()
            }

    def _advance(self, now_seconds: float) -> None:
        """Count the time since the last call at the present share."""
        elapsed_seconds = max(now_seconds - self._advanced_seconds, 0.0)
        if elapsed_seconds:
            share = self._share(self._contact(now_seconds), now_seconds)
            self._shared_seconds += elapsed_seconds * share
            self._advanced_seconds = now_seconds

    def _bucket(self, customer_id: CustomerId, began_seconds: float) -> QuotaBucket:
        bucket = self._buckets.get(customer_id)
        if bucket is None:
            bucket = QuotaBucket(0.0, began_seconds)
            self._buckets[customer_id] = bucket
        return bucket

    def _refill(self, customer: CustomerRules, contact: _Contact) -> QuotaBucket:
        bucket = self._bucket(customer.customer_id, self._shared_seconds)
        if bucket.is_new:
            bucket.is_new = False
            # Unless the buckets start full, all of the burst counts as used.
            bucket.used += 0.0 if self._starts_full else customer.burst
        bucket.refill(customer.rate_per_second, self._shared_seconds)
        # The shares of unknown peers aren't part of the burst here.
        unknown_share = self._unknown_share()
        bucket.withhold(
            customer.burst * unknown_share,
            contact.share / unknown_share,
            contact.last_seconds,
        )
        return bucket

    def _admission_rank(self, customer_id: CustomerId, now_seconds: float) -> int:
        """
        Return the rank of this process among its current peers by customer.

        Processes that see the same level need more units the higher they rank,
        so that they admit requests one after the other and each receives the
        report of the previous admission first.
        """
        local_hash = stable_hash(f"{customer_id}/{self._local_name}")
        return sum(
            1
            for peer, known in self._peers.items()
            if known.silent_seconds(now_seconds) <= self._silence_limit_seconds
            and stable_hash(f"{customer_id}/{peer}") < local_hash
        )

    def _share(self, contact: _Contact, now_seconds: float) -> float:
        """Return the fraction of each quota not assigned to silent peers."""
        share = 1.0 - self._silent_count(now_seconds) / (len(self._peers) + 1)
        share = min(share, contact.share)
        return (
            share
            if self._recorded_peers is not None
            else min(share, UNKNOWN_PEERS_FRACTION)
        )

    def _contact(self, now_seconds: float) -> _Contact:
        """Tell whether this process hears more than half of the instances."""
        recorded = self._recorded_peers or frozenset()
        limit_seconds = self._contact_limit_seconds
        heard_seconds = sorted(
            (
                -math.inf
                if known.last_message_seconds is None
                else known.last_message_seconds
                for peer, known in self._peers.items()
                if peer in recorded
                or known.silent_seconds(now_seconds) <= limit_seconds
            ),
            reverse=True,
        )
        instances = len(heard_seconds) + 1
        if instances == 1:
            return _Contact(1.0, now_seconds)
        last_seconds = heard_seconds[instances // 2 - 1]
        if now_seconds - last_seconds <= limit_seconds:
            return _Contact(1.0, last_seconds)
        heard = sum(now_seconds - at <= limit_seconds for at in heard_seconds)
        return _Contact((heard + 1) / instances, last_seconds)

    def _unknown_share(self) -> float:
        """
        Return the fraction of each burst not assigned to unknown peers.

        Usage of a peer up to its last message is known. Usage of a peer
        without any message is unknown, so its share of the burst is withheld.
        """
        peers_without_message = sum(
            peer.last_message_seconds is None for peer in self._peers.values()
        )
        share = 1.0 - peers_without_message / (len(self._peers) + 1)
        return (
            share
            if self._recorded_peers is not None
            else min(share, UNKNOWN_PEERS_FRACTION)
        )

    def _silent_count(self, now_seconds: float) -> int:
        return sum(
            1
            for peer in self._peers.values()
            if peer.silent_seconds(now_seconds) > self._silence_limit_seconds
        )
