"""Limiter and grantor duty together, with an in-memory log."""

import threading
from typing import Any

import pytest

from waxwing_testbed.fakes import MemoryLog
from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch._types import (
    Address,
    CustomerId,
    Epoch,
    InstanceId,
    ProcessId,
    ZoneName,
)
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.configuration import Configuration, Customer, Defaults
from waxwingwinch.contracts import Admitted, Limited
from waxwingwinch.interfaces import ListedInstance
from waxwingwinch.kernel import SystemClock
from waxwingwinch.limits import (
    ExtraRequest,
    FloorRequest,
    GrantorDuty,
    Limiter,
    StaticSplitLimiter,
)
from waxwingwinch.peers import PeerIdentity, PeerProgram

CLOCK = SystemClock()
CUSTOMER = CustomerId("tahi")
CELL = "c"
ADDRESS = Address("127.0.0.1", 1)
#: Short, as a new grantor waits for this term before it grants tokens.
EXTRA_TERM_SECONDS = 0.2


def configuration(rate=50.0, burst=20.0):
    customer = Customer(CUSTOMER, rate, burst)
    defaults = Defaults(extra_term_seconds=EXTRA_TERM_SECONDS)
    return Configuration(1, defaults, {CUSTOMER: customer})


class InProcessLink:
    """Passes messages to a grantor duty in this process, as a peer link."""

    def __init__(self, duty, instance_id):
        self.duty = duty
        self.peer = PeerIdentity(instance_id, PeerProgram.ENTRY, ZoneName("z"), CELL)
        self.is_down = False
        #: Epoch of the lease that guards grants.
        self.epoch = Epoch(1)

    def request(self, body, timeout_seconds):
        if self.is_down:
            raise PeerUnavailable("down")
        body = decode_message(encode_message(body))
        if isinstance(body, FloorRequest):
            reply = self.duty.handle_floors(self.peer, body)
        else:
            reply = self.duty.handle_extras(self.peer, body, self.epoch)
        return decode_message(encode_message(reply))


class CellHarness:
    def __init__(self):
        self.configuration = configuration()
        self.log = MemoryLog()
        self.instances = [self._listed(f"i{n}") for n in range(3)]
        self.duty = self.new_duty()
        self.services: list[Any] = []
        self.links: list[InProcessLink] = []

    def new_duty(self):
        return GrantorDuty(
            CELL,
            self.log,
            CLOCK,
            lambda: self.configuration,
            lambda: self.instances,
            handover_seconds=0.0,
        )

    def start(self, service):
        service.start()
        self.services.append(service)
        return service

    def limiter(self, number):
        instance_id = self.instances[number].instance_id
        link = InProcessLink(self.duty, instance_id)
        self.links.append(link)
        holder = ProcessId(instance_id, f"start{len(self.links)}")
        return self.start(
            Limiter(holder, CLOCK, lambda: self.configuration, lambda: link)
        )

    def wait_until_granting(self, limiter):
        while not isinstance(admit(limiter), Admitted):
            threading.Event().wait(0.02)

    def _listed(self, name):
        instance_id = InstanceId(name)
        zone = ZoneName(f"z{name}")
        return ListedInstance(instance_id, zone, ADDRESS, ADDRESS, ADDRESS)


@pytest.fixture
def cell():
    cell = CellHarness()
    cell.start(cell.duty)
    yield cell
    for service in reversed(cell.services):
        service.stop()


def admit(limiter, customer_id=CUSTOMER):
    return limiter.admit(customer_id, CLOCK.now_seconds())


def floor_of(cell, limiter):
    with cell.duty._lock:
        return cell.duty._grantor.floors.newest(CUSTOMER, limiter._holder)


def wait_for(predicate):
    deadline_seconds = CLOCK.now_seconds() + 20
    while not predicate():
        assert CLOCK.now_seconds() < deadline_seconds
        threading.Event().wait(0.02)


def test_an_entry_is_granted_tokens_and_a_floor(cell):
    limiter = cell.limiter(0)
    cell.duty.begin(Epoch(1), CLOCK.now_seconds())
    cell.wait_until_granting(limiter)
    wait_for(lambda: floor_of(cell, limiter) is not None)
    assert floor_of(cell, limiter).granted.rate_per_second <= 25.0


def test_without_a_grantor_a_refusal_does_not_report_over_rate(cell):
    limiter = cell.limiter(0)
    decision = admit(limiter)
    assert isinstance(decision, Limited)
    assert not decision.over_rate
    assert decision.retry_after_seconds > 0


def test_demand_far_above_the_rate_is_reported_as_over_rate(cell):
    limiter = cell.limiter(0)
    cell.duty.begin(Epoch(1), CLOCK.now_seconds())
    cell.wait_until_granting(limiter)
    decisions = [admit(limiter) for _ in range(400)]
    assert any(isinstance(d, Limited) and d.over_rate for d in decisions)


def test_a_floor_remains_usable_after_the_grantor_is_lost(cell):
    limiter = cell.limiter(0)
    cell.duty.begin(Epoch(1), CLOCK.now_seconds())
    wait_for(lambda: floor_of(cell, limiter) is not None)
    cell.links[0].is_down = True
    wait_for(lambda: isinstance(admit(limiter), Admitted))


def test_a_planned_stop_releases_the_floor_for_all_grantors(cell):
    other = cell.start(cell.new_duty())
    limiter = cell.limiter(0)
    cell.duty.begin(Epoch(1), CLOCK.now_seconds())
    wait_for(lambda: floor_of(cell, limiter) is not None)
    limiter.stop()
    cell.services.remove(limiter)
    wait_for(lambda: other._grantor.floors.newest(CUSTOMER, limiter._holder) is None)


def test_a_new_grantor_counts_the_floors_of_its_predecessor(cell):
    other = cell.start(cell.new_duty())
    limiter = cell.limiter(0)
    cell.duty.begin(Epoch(1), CLOCK.now_seconds())
    wait_for(lambda: floor_of(cell, limiter) is not None)
    wait_for(lambda: other._grantor.floors.newest(CUSTOMER, limiter._holder))
    cell.duty.end()
    other.begin(Epoch(2), CLOCK.now_seconds())
    wait_for(lambda: other._grantor.epoch == 2)
    account = other._grantor._accounts[CUSTOMER]
    assert limiter._holder in account.floor_shares()


def test_a_peer_cannot_request_tokens_for_another_instance(cell):
    limiter = cell.limiter(0)
    cell.links[0].peer = PeerIdentity(
        InstanceId("i2"), PeerProgram.ENTRY, ZoneName("z"), CELL
    )
    cell.duty.begin(Epoch(1), CLOCK.now_seconds())
    wait_for(lambda: cell.duty._grantor.epoch == 1)
    assert isinstance(admit(limiter), Limited)


def test_an_unknown_customer_is_limited(cell):
    assert isinstance(admit(cell.limiter(0), CustomerId("nobody")), Limited)


def test_a_static_split_never_exceeds_its_fraction():
    limiter = StaticSplitLimiter(lambda: configuration(70.0, 70.0), 7)
    limiter.admit(CUSTOMER, 0.0)
    decisions = [limiter.admit(CUSTOMER, 1_000.0) for _ in range(20)]
    assert sum(isinstance(decision, Admitted) for decision in decisions) == 10


def test_a_request_under_a_lease_of_another_epoch_is_granted_nothing(cell):
    limiter = cell.limiter(0)
    cell.duty.begin(Epoch(1), CLOCK.now_seconds())
    wait_for(lambda: cell.duty._grantor.epoch == 1)
    request = ExtraRequest(limiter._holder, Epoch(1), ())
    peer = cell.links[0].peer
    assert cell.duty.handle_extras(peer, request, Epoch(1)).epoch == 1
    assert cell.duty.handle_extras(peer, request, Epoch(2)).epoch is None
