"""Test harness of the runners with fake engines, market and log."""

from attrs import evolve

from waxwing_testbed.fakes import ManualClock, MemoryLog
from waxwingwinch._exceptions import Outcome, PlatformUnavailable, UpstreamFailed
from waxwingwinch._types import (
    Address,
    EngineRole,
    InstanceId,
    ModelName,
    PriceClass,
    UpstreamId,
    UpstreamKind,
    UpstreamState,
    ZoneName,
)
from waxwingwinch.configuration import Configuration, Model
from waxwingwinch.contracts import InFlightCount
from waxwingwinch.control._drain_tracker import DrainTracker
from waxwingwinch.control._entry_tracker import EntryTracker
from waxwingwinch.control._journal import FleetJournal
from waxwingwinch.fleet import FleetObserver, fleet_stream
from waxwingwinch.interfaces import (
    CacheEventPage,
    ListedUpstream,
    LoadReport,
    OrderResult,
    WeightReservation,
)
from waxwingwinch.membership import Heartbeat
from waxwingwinch.streams import StreamWriter

M = ModelName("m")
E1 = UpstreamId("e1")


class FakeEngines:
    """Engines that record orders; two flags enable execution and answers."""

    def __init__(self, clock):
        self.clock = clock
        self.reports = {}
        self.orders = []
        self.is_answering = True
        self.is_executing = True
        #: Outdated load reports by port, returned until removed.
        self.lagging_reports = {}

    def load_report(self, address):
        lagging = self.lagging_reports.get(address.port)
        return lagging or self.reports[address.port]

    def generate(self, address, call):
        raise NotImplementedError

    def cancel(self, address, request_id):
        raise NotImplementedError

    def cache_events(self, address, from_sequence):
        return CacheEventPage(from_sequence, ())

    def order(self, address, order):
        self.orders.append(order)
        if self.is_executing:
            report = self.reports[address.port]
            self.reports[address.port] = evolve(report, role=order.action.role)
        if not self.is_answering:
            raise UpstreamFailed("answer lost", Outcome.UNKNOWN)
        return OrderResult.DONE


class FakeWeightStore:
    """A weight store that grants each reservation at once."""

    def reserve(self, upstream_id, model, version):
        return WeightReservation(0.0, 1.0)


class FakeMarket:
    """A market whose answers can be lost."""

    def __init__(self):
        self.rows = []
        self.placed = {}
        self.sent = []
        self.lose_answers = False
        self.refusal = None

    def list_upstreams(self):
        return tuple(self.rows)

    def place(self, order):
        self.sent.append(order)
        if self.refusal is not None:
            raise self.refusal
        self.placed.setdefault(order.order_id, order)
        if self.lose_answers:
            raise PlatformUnavailable("answer lost", may_have_taken_effect=True)

    def was_placed(self, order_id):
        return order_id in self.placed


def listed_engine(number, role=EngineRole.MIXED):
    return ListedUpstream(
        UpstreamId(f"e{number}"),
        UpstreamKind.ENGINE,
        Address("127.0.0.1", number),
        ZoneName(f"z{number % 3}"),
        PriceClass.ON_DEMAND,
        1.0,
        UpstreamState.ACTIVE,
        model=M,
        role=role,
    )


def idle_report(number, role):
    return LoadReport(
        upstream_id=UpstreamId(f"e{number}"),
        age_seconds=0.0,
        role=role,
        model=M,
        adapters=(),
        running=0,
        waiting=0,
        waiting_prompt_tokens=0,
        kv_pieces_used=0,
        kv_pieces_total=64,
        prefill_tokens_per_second=10_000.0,
        decode_seconds_per_token=0.02,
    )


class FleetHarness:
    """A fleet with its log under a manual clock; followers run in threads."""

    def __init__(self, roles):
        self.clock = ManualClock()
        self.log = MemoryLog()
        self.engines = FakeEngines(self.clock)
        self.market = FakeMarket()
        for number, role in enumerate(roles, start=1):
            self.market.rows.append(listed_engine(number, role))
            self.engines.reports[number] = LoadReport(
                UpstreamId(f"e{number}"),
                0.0,
                role,
                M,
                (),
                0,
                0,
                0,
                0,
                64,
                10_000.0,
                0.02,
            )
        self.observer = FleetObserver(
            self.market, self.engines, self.log, self.clock, "c"
        )
        self.writer = StreamWriter(self.log, fleet_stream("c"), self.clock)
        self.entries = EntryTracker(self.clock.now_seconds)
        self.configuration = Configuration(models={M: Model(M)})
        self._sequence = 0

    def start(self):
        self.writer.start()
        self.observer.start()

    def stop(self):
        self.observer.stop()
        self.writer.stop()

    def journal(self, planner, epoch):
        journal = FleetJournal(planner, self.writer, self.observer)
        journal.begin_term(epoch)
        return journal

    def drains(self, expected_instances=1):
        return DrainTracker(self.observer, self.entries, expected_instances, 0.01)

    def send_heartbeat(self, in_flight=(), fleet_offset=None, demand=(), name="i1"):
        """Send the heartbeat of one entry."""
        self._sequence += 1
        if fleet_offset is None:
            fleet_offset = self.observer.fleet_offset()
        counts = tuple(InFlightCount(UpstreamId(u), n, 0) for u, n in in_flight)
        heartbeat = Heartbeat(
            InstanceId(name),
            ZoneName("z1"),
            Address("127.0.0.1", 9),
            self._sequence,
            1,
            b"",
            fleet_offset,
            False,
            counts,
            demand,
        )
        self.entries.record_heartbeat(heartbeat, self.clock.now_seconds())

    def advance(self, seconds):
        """Advance the clock, then poll all engines and the list once."""
        self.clock.advance(seconds)
        for poller in list(self.observer._pollers.values()):
            poller.poll()
        self.observer.poll_list()
