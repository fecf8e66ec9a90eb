"""Quotas hold over all instances, and callers within them are let in."""

import pytest
from attrs import evolve

from waxwingwinch._types import CustomerId
from waxwingwinch.gateway._change_log import CHANGE_SET_INTERVAL_SECONDS
from waxwingwinch.gateway._exchange_reader import EXCHANGE_INTERVAL_SECONDS
from waxwingwinch.gateway._gossip import REPORT_INTERVAL_SECONDS
from waxwingwinch.gateway._model import CustomerRules, QuotaUnit
from waxwingwinch.gateway._quota import SILENT_PEER_SECONDS, QuotaBook
from waxwingwinch.gateway._silence import DIRECT_MAX, RELAYED_SILENT_SECONDS

RATE = 47_000.0
SLACK = 190_000.0
OVERSHOOT = 0.1
#: The largest customer of a deployment with many instances.
MANY_RATE = 8 * RATE
WINDOW_SECONDS = 8.0
INSTANCES = 7
#: The processes started well before the customers came.
START_SECONDS = -10.0

CUSTOMER = CustomerRules(
    CustomerId("c"), frozenset(), RATE, RATE, QuotaUnit.TOKENS, 200.0
)


class Cluster:
    """Instances that tell one another what they admitted."""

    def __init__(
        self, count=INSTANCES, slack=SLACK, customer=CUSTOMER, way_seconds=0.0
    ):
        self.customer = customer
        self.way_seconds = way_seconds
        self.on_the_way = []
        self.books = [
            QuotaBook(
                f"peer-{index}", slack, starts_full=True, now_seconds=START_SECONDS
            )
            for index in range(count)
        ]
        names = {f"peer-{index}" for index in range(count)}
        for index, book in enumerate(self.books):
            book.expect(frozenset(names - {f"peer-{index}"}))
        self.admitted = []
        self.reported_seconds = 0.0
        self.cut = set()

    def report(self, now_seconds):
        if now_seconds - self.reported_seconds < REPORT_INTERVAL_SECONDS:
            return
        self.reported_seconds = now_seconds
        totals = [book.own_totals() for book in self.books]
        self.on_the_way.append((now_seconds, totals))
        if now_seconds - self.on_the_way[0][0] < self.way_seconds:
            return
        made_seconds, totals = self.on_the_way.pop(0)
        for index, book in enumerate(self.books):
            for peer, total in enumerate(totals):
                apart = (index in self.cut) != (peer in self.cut)
                if peer != index and not apart:
                    book.heard(f"peer-{peer}", dict(total), made_seconds)

    def ask(self, index, cost, now_seconds):
        if self.books[index].admit(self.customer, cost, now_seconds) is None:
            self.admitted.append((now_seconds, cost))

    def most_in_a_window(self):
        most = 0.0
        for start, _ in self.admitted:
            inside = [
                cost
                for at, cost in self.admitted
                if start <= at < start + WINDOW_SECONDS
            ]
            most = max(most, sum(inside))
        return most


def lone_book(starts_full=True, now_seconds=START_SECONDS):
    """Return the book of a process without peers."""
    book = QuotaBook("own", 0.0, starts_full, now_seconds)
    book.expect(frozenset())
    return book


def allowed():
    return (RATE * WINDOW_SECONDS + RATE) * (1 + OVERSHOOT) + SLACK


def play(cluster, ask_every_seconds, cost, until_seconds, from_seconds=0.0):
    now_seconds, index = from_seconds, 0
    while now_seconds < until_seconds:
        cluster.report(now_seconds)
        cluster.ask(index % len(cluster.books), cost, now_seconds)
        index += 1
        now_seconds += ask_every_seconds


@pytest.mark.parametrize("cost", [2_000.0, 12_000.0, 60_000.0])
def test_a_customer_at_many_times_its_rate_stays_within_the_bound(cost):
    cluster = Cluster()
    play(cluster, cost / (7.5 * RATE), cost, 20.0)
    assert cluster.most_in_a_window() <= allowed()
    assert sum(cost for _, cost in cluster.admitted) >= RATE * 18


def test_peers_of_other_cells_are_not_taken_for_silent_between_exchanges():
    """Pattern: many instances, of which most are heard through others."""
    book = QuotaBook("own", SLACK, starts_full=True, now_seconds=START_SECONDS)
    peers = frozenset(f"peer-{index}" for index in range(DIRECT_MAX))
    book.expect(peers)
    for peer in peers:
        book.heard(peer, {}, 0.0)
    assert book.share(RELAYED_SILENT_SECONDS - 0.1) == 1.0
    assert book.share(RELAYED_SILENT_SECONDS + 0.1) < 1.0


def test_a_customer_at_its_rate_is_not_refused():
    cluster = Cluster()
    play(cluster, 10_000.0 / (0.9 * RATE), 10_000.0, 20.0)
    asked = 20.0 / (10_000.0 / (0.9 * RATE))
    assert len(cluster.admitted) >= asked - 1


def many_instances():
    """Return instances in cells; what others admitted is heard later."""
    customer = evolve(CUSTOMER, rate_per_second=MANY_RATE, burst=MANY_RATE)
    way_seconds = 3 * EXCHANGE_INTERVAL_SECONDS + 2 * CHANGE_SET_INTERVAL_SECONDS
    return Cluster(78, customer=customer, way_seconds=way_seconds)


def test_a_customer_at_its_rate_is_not_refused_by_many_instances():
    """Pattern: 78 instances that each see few requests of a customer."""
    cluster = many_instances()
    play(cluster, 12_000.0 / (0.9 * MANY_RATE), 12_000.0, 10.0)
    asked = 10.0 / (12_000.0 / (0.9 * MANY_RATE))
    assert len(cluster.admitted) >= asked - 1


def test_a_burst_within_the_quota_is_not_refused_by_many_instances():
    """Pattern: a customer asks half more than its rate for a second."""
    cluster, asked = many_instances(), 0
    for second in range(0, 9, 3):
        every_seconds = 12_000.0 / (1.5 * MANY_RATE)
        play(cluster, every_seconds, 12_000.0, second + 1.0, from_seconds=second)
        asked += int(1.0 / every_seconds)
        for tenth in range(10, 30):
            cluster.report(second + tenth / 10)
    assert len(cluster.admitted) >= asked


def test_a_customer_at_many_times_its_rate_stays_within_it_at_many_instances():
    """Pattern: a burst of one customer over 78 instances."""
    cluster = many_instances()
    play(cluster, 12_000.0 / (3.0 * MANY_RATE), 12_000.0, 10.0)
    most = (MANY_RATE * WINDOW_SECONDS + MANY_RATE) * (1 + OVERSHOOT) + SLACK
    assert cluster.most_in_a_window() <= most
    assert sum(cost for _, cost in cluster.admitted) >= MANY_RATE * 9


def test_two_groups_that_do_not_hear_each_other_share_the_rate():
    cluster = Cluster()
    play(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 4.0)
    cluster.cut = {0, 1}
    play(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 12.0, from_seconds=4.0)
    cluster.cut = set()
    play(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 20.0, from_seconds=12.0)
    assert cluster.most_in_a_window() <= allowed()


def test_processes_that_never_heard_one_another_share_the_rate():
    """Pattern: all instances start anew while their links are cut."""
    cluster = Cluster()
    cluster.report = lambda now_seconds: None  # type: ignore[method-assign]
    play(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 12.0)
    assert cluster.most_in_a_window() <= allowed()


def test_a_long_cut_between_two_groups_does_not_multiply_the_rate():
    """Pattern: a zone's links to the others are cut for minutes."""
    cluster = Cluster()
    cluster.cut = {0, 1}
    play(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 5 * SILENT_PEER_SECONDS)
    assert cluster.most_in_a_window() <= allowed()


def test_a_long_cut_after_all_were_heard_does_not_multiply_the_rate():
    """Pattern: a cut that comes while a customer is at its limit."""
    cluster = Cluster()
    play(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 4.0)
    cluster.cut = {0, 1, 2}
    until_seconds = 4.0 + 3 * SILENT_PEER_SECONDS
    play(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, until_seconds, from_seconds=4.0)
    assert cluster.most_in_a_window() <= allowed()


def test_a_customer_keeps_its_burst_while_peers_are_silent():
    """Pattern: instances are killed while a customer sends in short bursts."""
    cluster = Cluster()
    play(cluster, 10_000.0 / (0.5 * RATE), 10_000.0, 4.0)
    cluster.cut = {4, 5, 6}
    cost = 30_000.0
    for second in range(4, 24):
        for step in range(10):
            cluster.report(second + step / 10)
        assert cluster.books[0].admit(CUSTOMER, cost, second + 1.0) is None


def test_a_process_that_read_no_records_yet_takes_a_small_share():
    """Pattern: an instance starts and the store goes away before it joined."""
    book = QuotaBook("own", SLACK, starts_full=True, now_seconds=START_SECONDS)
    cluster = Cluster(count=0)
    cluster.books = [book]
    play(cluster, 8_000.0 / (7.5 * RATE), 8_000.0, 12.0)
    assert cluster.most_in_a_window() <= allowed() / INSTANCES


def test_the_share_of_a_peer_without_a_record_is_free_again():
    """Pattern: an instance is removed for good."""
    book = lone_book()
    book.expect(frozenset({"peer"}))
    book.heard("peer", {}, 0.0)
    assert book.admit(CUSTOMER, RATE / 2, 0.0) is None
    book.expect(frozenset())
    later_seconds = SILENT_PEER_SECONDS + 1.0
    assert book.admit(CUSTOMER, RATE, later_seconds) is None
    assert book.admit(CUSTOMER, RATE / 2, later_seconds + 0.55) is None


def test_what_a_peer_admitted_before_it_was_heard_is_not_taken_out_again():
    """Pattern: an instance starts anew behind a cut, which heals later."""
    book = lone_book()
    book.expect(frozenset({"peer"}))
    book.heard("peer", {CUSTOMER.customer_id: 100 * RATE}, 30.0)
    assert book.admit(CUSTOMER, RATE / 2, 30.0) is None


def test_a_request_above_the_burst_is_let_in_when_nothing_was_used():
    book = lone_book()
    assert book.admit(CUSTOMER, 2 * RATE, 0.0) is None
    beyond = book.admit(CUSTOMER, 10.0, 0.0)
    assert beyond.wait_seconds == pytest.approx(1.0, rel=0.01)


def test_a_new_start_begins_with_an_empty_bucket():
    book = lone_book(False, 0.0)
    assert book.admit(CUSTOMER, RATE, 0.0) is not None
    assert book.admit(CUSTOMER, RATE / 2, 0.6) is None


def test_an_admission_without_effect_is_given_back():
    book = lone_book()
    assert book.admit(CUSTOMER, RATE, 0.0) is None
    book.give_back(CUSTOMER, RATE)
    assert book.admit(CUSTOMER, RATE, 0.0) is None


def test_use_elsewhere_counts_before_the_first_request_here():
    book = lone_book()
    book.heard("peer", {}, 0.0)
    book.heard("peer", {CUSTOMER.customer_id: RATE}, 0.1)
    assert book.admit(CUSTOMER, RATE / 2, 0.1) is not None
    assert book.admit(CUSTOMER, RATE / 2, 0.7) is None


def test_processes_that_were_replaced_take_no_share_for_ever():
    """Pattern: instances are restarted in turn all day."""
    book = lone_book()
    for number in range(100):
        book.heard(f"start-{number}", {}, float(number))
    now_seconds = 99.0 + SILENT_PEER_SECONDS
    book.heard("last", {}, now_seconds)
    assert book.admit(CUSTOMER, RATE, now_seconds) is None
    # Nobody else is left, so that the whole rate comes back.
    assert book.admit(CUSTOMER, RATE / 2, now_seconds + 0.85) is None


def test_no_rate_means_no_limit():
    unlimited = CustomerRules(CustomerId("u"), frozenset())
    book = QuotaBook("own", 0.0, starts_full=False, now_seconds=START_SECONDS)
    assert all(book.admit(unlimited, 1e9, 0.0) is None for _ in range(5))
