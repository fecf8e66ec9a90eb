"""Quotas hold over all instances; requests within them are admitted."""

import pytest
from attrs import evolve

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._change_log import CHANGE_SET_INTERVAL_SECONDS
from waxwingwinch.gateway._exchange_reader import EXCHANGE_INTERVAL_SECONDS
from waxwingwinch.gateway._gossip import REPORT_INTERVAL_SECONDS
from waxwingwinch.gateway._model import CustomerRules, QuotaUnit
from waxwingwinch.gateway._quota import PEER_EXPIRY_SECONDS, QuotaTracker
from waxwingwinch.gateway._silence import MAX_DIRECT_INSTANCES, RELAYED_SILENCE_SECONDS

RATE = 47_000.0
SLACK = 190_000.0
OVERSHOOT = 0.1
#: The largest customer of a deployment with many instances.
MANY_RATE = 8 * RATE
WINDOW_SECONDS = 8.0
INSTANCES = 7
#: The processes start well before the first requests.
START_SECONDS = -10.0

CUSTOMER = CustomerRules(
    CustomerId("c"), frozenset(), RATE, RATE, QuotaUnit.TOKENS, 200.0
)


class Cluster:
    """Instances that report their admissions to one another."""

    def __init__(
        self, count=INSTANCES, slack=SLACK, customer=CUSTOMER, delay_seconds=0.0
    ):
        self.customer = customer
        self.delay_seconds = delay_seconds
        self.in_transit = []
        self.trackers = [
            QuotaTracker(
                f"peer-{index}", slack, starts_full=True, now_seconds=START_SECONDS
            )
            for index in range(count)
        ]
        names = {f"peer-{index}" for index in range(count)}
        for index, tracker in enumerate(self.trackers):
            tracker.set_recorded_peers(frozenset(names - {f"peer-{index}"}))
        self.admitted = []
        self.reported_seconds = 0.0
        self.disconnected = set()

    def report(self, now_seconds):
        if now_seconds - self.reported_seconds < REPORT_INTERVAL_SECONDS:
            return
        self.reported_seconds = now_seconds
        totals = [tracker.local_totals() for tracker in self.trackers]
        self.in_transit.append((now_seconds, totals))
        if now_seconds - self.in_transit[0][0] < self.delay_seconds:
            return
        made_seconds, totals = self.in_transit.pop(0)
        for index, tracker in enumerate(self.trackers):
            for peer, total in enumerate(totals):
                are_separated = (index in self.disconnected) != (
                    peer in self.disconnected
                )
                if peer != index and not are_separated:
                    tracker.record_totals(f"peer-{peer}", dict(total), made_seconds)

    def request(self, index, cost, now_seconds):
        if self.trackers[index].admit(self.customer, cost, now_seconds) is None:
            self.admitted.append((now_seconds, cost))

    def max_in_window(self):
        max_cost = 0.0
        for start, _ in self.admitted:
            inside = [
                cost
                for at, cost in self.admitted
                if start <= at < start + WINDOW_SECONDS
            ]
            max_cost = max(max_cost, sum(inside))
        return max_cost


def make_lone_tracker(starts_full=True, now_seconds=START_SECONDS):
    """Return the tracker of a process without peers."""
    tracker = QuotaTracker("own", 0.0, starts_full, now_seconds)
    tracker.set_recorded_peers(frozenset())
    return tracker


def max_allowed():
    return (RATE * WINDOW_SECONDS + RATE) * (1 + OVERSHOOT) + SLACK


def simulate(cluster, request_interval_seconds, cost, until_seconds, from_seconds=0.0):
    now_seconds, index = from_seconds, 0
    while now_seconds < until_seconds:
        cluster.report(now_seconds)
        cluster.request(index % len(cluster.trackers), cost, now_seconds)
        index += 1
        now_seconds += request_interval_seconds


@pytest.mark.parametrize("cost", [2_000.0, 12_000.0, 60_000.0])
def test_customer_far_above_its_rate_stays_within_quota(cost):
    cluster = Cluster()
    simulate(cluster, cost / (7.5 * RATE), cost, 20.0)
    assert cluster.max_in_window() <= max_allowed()
    assert sum(cost for _, cost in cluster.admitted) >= RATE * 18


def test_peers_of_other_cells_are_not_silent_between_exchanges():
    """Case: many instances, most of whose reports are relayed by others."""
    tracker = QuotaTracker("own", SLACK, starts_full=True, now_seconds=START_SECONDS)
    peers = frozenset(f"peer-{index}" for index in range(MAX_DIRECT_INSTANCES))
    tracker.set_recorded_peers(peers)
    for peer in peers:
        tracker.record_totals(peer, {}, 0.0)
    assert tracker.share(RELAYED_SILENCE_SECONDS - 0.1) == 1.0
    assert tracker.share(RELAYED_SILENCE_SECONDS + 0.1) < 1.0


def test_customer_at_its_rate_is_not_refused():
    cluster = Cluster()
    simulate(cluster, 10_000.0 / (0.9 * RATE), 10_000.0, 20.0)
    requested = 20.0 / (10_000.0 / (0.9 * RATE))
    assert len(cluster.admitted) >= requested - 1


def make_many_instances():
    """Return instances in cells; two collectors delay their reports."""
    customer = evolve(CUSTOMER, rate_per_second=MANY_RATE, burst=MANY_RATE)
    delay_seconds = 3 * EXCHANGE_INTERVAL_SECONDS + 2 * CHANGE_SET_INTERVAL_SECONDS
    return Cluster(78, customer=customer, delay_seconds=delay_seconds)


def test_customer_at_its_rate_is_not_refused_by_many_instances():
    """Case: 78 instances that each get few requests of a customer."""
    cluster = make_many_instances()
    simulate(cluster, 12_000.0 / (0.9 * MANY_RATE), 12_000.0, 10.0)
    requested = 10.0 / (12_000.0 / (0.9 * MANY_RATE))
    assert len(cluster.admitted) >= requested - 1


def test_burst_within_quota_is_not_refused_by_many_instances():
    """Case: a customer sends 1.5 times its rate for a second."""
    cluster, requested = make_many_instances(), 0
    for second in range(0, 9, 3):
        interval_seconds = 12_000.0 / (1.5 * MANY_RATE)
        simulate(cluster, interval_seconds, 12_000.0, second + 1.0, from_seconds=second)
        requested += int(1.0 / interval_seconds)
        for tenth in range(10, 30):
            cluster.report(second + tenth / 10)
    assert len(cluster.admitted) >= requested


def test_customer_far_above_its_rate_stays_within_quota_of_many_instances():
    """Case: a burst of one customer over 78 instances."""
    cluster = make_many_instances()
    simulate(cluster, 12_000.0 / (3.0 * MANY_RATE), 12_000.0, 10.0)
    max_cost = (MANY_RATE * WINDOW_SECONDS + MANY_RATE) * (1 + OVERSHOOT) + SLACK
    assert cluster.max_in_window() <= max_cost
    assert sum(cost for _, cost in cluster.admitted) >= MANY_RATE * 9


def test_two_disconnected_groups_share_the_rate():
    cluster = Cluster()
    simulate(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 4.0)
    cluster.disconnected = {0, 1}
    simulate(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 12.0, from_seconds=4.0)
    cluster.disconnected = set()
    simulate(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 20.0, from_seconds=12.0)
    assert cluster.max_in_window() <= max_allowed()


def test_processes_without_any_peer_message_share_the_rate():
    """Case: all instances restart while their links are down."""
    cluster = Cluster()
    cluster.report = lambda now_seconds: None  # type: ignore[method-assign]
    simulate(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 12.0)
    assert cluster.max_in_window() <= max_allowed()


def test_long_partition_does_not_multiply_the_rate():
    """Case: a zone's links to the other zones are down for minutes."""
    cluster = Cluster()
    cluster.disconnected = {0, 1}
    simulate(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 5 * PEER_EXPIRY_SECONDS)
    assert cluster.max_in_window() <= max_allowed()


def test_long_partition_after_all_were_connected_does_not_multiply_the_rate():
    """Case: links fail while a customer is at its limit."""
    cluster = Cluster()
    simulate(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 4.0)
    cluster.disconnected = {0, 1, 2}
    until_seconds = 4.0 + 3 * PEER_EXPIRY_SECONDS
    simulate(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, until_seconds, from_seconds=4.0)
    assert cluster.max_in_window() <= max_allowed()


def test_customer_keeps_its_burst_while_peers_are_silent():
    """Case: instances are killed while a customer sends in short bursts."""
    cluster = Cluster()
    simulate(cluster, 10_000.0 / (0.5 * RATE), 10_000.0, 4.0)
    cluster.disconnected = {4, 5, 6}
    cost = 30_000.0
    for second in range(4, 24):
        for step in range(10):
            cluster.report(second + step / 10)
        assert cluster.trackers[0].admit(CUSTOMER, cost, second + 1.0) is None


def test_process_without_peer_records_uses_small_share():
    """Case: the store fails after an instance starts and before it joins."""
    tracker = QuotaTracker("own", SLACK, starts_full=True, now_seconds=START_SECONDS)
    cluster = Cluster(count=0)
    cluster.trackers = [tracker]
    simulate(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 12.0)
    assert cluster.max_in_window() <= max_allowed() / INSTANCES


def test_share_of_removed_peer_is_released():
    """Case: an instance is removed permanently."""
    tracker = make_lone_tracker()
    tracker.set_recorded_peers(frozenset({"peer"}))
    tracker.record_totals("peer", {}, 0.0)
    assert tracker.admit(CUSTOMER, RATE / 2, 0.0) is None
    tracker.set_recorded_peers(frozenset())
    later_seconds = PEER_EXPIRY_SECONDS + 1.0
    assert tracker.admit(CUSTOMER, RATE, later_seconds) is None
    assert tracker.admit(CUSTOMER, RATE / 2, later_seconds + 0.55) is None


def test_usage_before_first_message_of_peer_is_not_charged_twice():
    """Case: an instance restarts while its links are down; they recover."""
    tracker = make_lone_tracker()
    tracker.set_recorded_peers(frozenset({"peer"}))
    tracker.record_totals("peer", {CUSTOMER.customer_id: 100 * RATE}, 30.0)
    assert tracker.admit(CUSTOMER, RATE / 2, 30.0) is None


def test_request_above_burst_is_admitted_when_bucket_is_full():
    tracker = make_lone_tracker()
    assert tracker.admit(CUSTOMER, 2 * RATE, 0.0) is None
    over_quota = tracker.admit(CUSTOMER, 10.0, 0.0)
    assert over_quota.wait_seconds == pytest.approx(1.0, rel=0.01)


def test_restarted_process_begins_with_empty_bucket():
    tracker = make_lone_tracker(False, 0.0)
    assert tracker.admit(CUSTOMER, RATE, 0.0) is not None
    assert tracker.admit(CUSTOMER, RATE / 2, 0.6) is None


def test_refund_restores_quota():
    tracker = make_lone_tracker()
    assert tracker.admit(CUSTOMER, RATE, 0.0) is None
    tracker.refund(CUSTOMER, RATE)
    assert tracker.admit(CUSTOMER, RATE, 0.0) is None


def test_usage_of_peers_counts_before_first_local_request():
    tracker = make_lone_tracker()
    tracker.record_totals("peer", {}, 0.0)
    tracker.record_totals("peer", {CUSTOMER.customer_id: RATE}, 0.1)
    assert tracker.admit(CUSTOMER, RATE / 2, 0.1) is not None
    assert tracker.admit(CUSTOMER, RATE / 2, 0.7) is None


def test_replaced_processes_do_not_keep_their_share():
    """Case: instances are restarted in turn all day."""
    tracker = make_lone_tracker()
    for number in range(100):
        tracker.record_totals(f"start-{number}", {}, float(number))
    now_seconds = 99.0 + PEER_EXPIRY_SECONDS
    tracker.record_totals("last", {}, now_seconds)
    assert tracker.admit(CUSTOMER, RATE, now_seconds) is None
    # No silent peer is left, so the full rate is refilled.
    assert tracker.admit(CUSTOMER, RATE / 2, now_seconds + 0.85) is None


def test_customer_without_rate_is_not_limited():
    unlimited = CustomerRules(CustomerId("u"), frozenset())
    tracker = QuotaTracker("own", 0.0, starts_full=False, now_seconds=START_SECONDS)
    assert all(tracker.admit(unlimited, 1e9, 0.0) is None for _ in range(5))
