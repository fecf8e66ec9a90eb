"""The gateway process, which connects the services of one instance."""

import secrets
import threading

from waxwingwinch.gateway._cache_survey import CacheSurvey
from waxwingwinch.gateway._caller_watcher import CallerWatcher
from waxwingwinch.gateway._duty_lease import DutyLease
from waxwingwinch.gateway._duty_worker import DutyWorker
from waxwingwinch.gateway._follower import FollowPlan, Pace, TopicFollower
from waxwingwinch.gateway._front import FrontServer
from waxwingwinch.gateway._gossip import Gossip, GossipHandlers
from waxwingwinch.gateway._handler import (
    RequestHandler,
    max_concurrent_requests,
)
from waxwingwinch.gateway._history import HistoryWatch
from waxwingwinch.gateway._info_server import InfoServer
from waxwingwinch.gateway._instance_endpoints import InstanceEndpoints
from waxwingwinch.gateway._instrumented_store import InstrumentedStore
from waxwingwinch.gateway._job import RelayContext
from waxwingwinch.gateway._joining import (
    MEMBERS_TOPIC,
    SECRET_BYTES,
    OwnRecords,
    ensure_shared_secret,
    publish_member,
    withdraw_member,
)
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._options import GatewayAdapter, GatewayOptions
from waxwingwinch.gateway._permits import PermitBroker
from waxwingwinch.gateway._process_log_lines import (
    GatewayJoined,
    GatewayNotServing,
    GatewayStarting,
    GatewayStopped,
    GatewayStopping,
    MemoryUsed,
)
from waxwingwinch.gateway._process_memory import peak_resident_bytes
from waxwingwinch.gateway._record_applier import RecordApplier
from waxwingwinch.gateway._reports import StateReporter
from waxwingwinch.gateway._returns import ReturnSchedule
from waxwingwinch.gateway._state import GatewayState
from waxwingwinch.gateway._statements import StatementObserver
from waxwingwinch.gateway._stop import StopSequence, run_part, stop_schedule
from waxwingwinch.gateway._store_feed import StoreFeed
from waxwingwinch.gateway._unanswered import UnansweredConnections, UnansweredStage
from waxwingwinch.gateway.callers import front_bounds, info_bounds
from waxwingwinch.kernel import BindAbandoned, Clock
from waxwingwinch.peers import PeerIdentity, PeerProgram

#: How long the store may hold a read of the configuration. A connection that
#: stopped responding is detected after this time, well within the time in
#: which a configuration change must take effect.
CONFIGURATION_PACE = Pace(wait_seconds=2.0)
#: The same for an instance that reads the store on behalf of others; the
#: change reaches them only after a further exchange.
SHARED_CONFIGURATION_PACE = Pace(wait_seconds=1.0)
#: The same for the records of instances, which change rarely. The pause lets
#: the records of many instances that start together arrive in few calls.
MEMBERS_PACE = Pace(wait_seconds=5.0, pause_seconds=0.2)
#: The same for an instance that reads the store on behalf of others.
SHARED_MEMBERS_PACE = Pace(wait_seconds=1.5, pause_seconds=0.2)
#: Pause between two reads of the upstreams' entries, which are written
#: continuously, as a fraction of the time within which a leaving upstream must
#: stop getting new work. Each read is charged for; the remaining time allows
#: for a slow or repeated read.
UPSTREAMS_PAUSE_FRACTION = 0.3
#: Minimum of this pause, independent of the settings.
UPSTREAMS_PAUSE_MIN_SECONDS = 0.2
#: The fraction for an instance that reads the store on behalf of others; the
#: entries reach them after two further exchanges.
SHARED_UPSTREAMS_PAUSE_FRACTION = 0.1


def upstreams_pace(drain_seconds: float, is_shared: bool) -> Pace:
    """
    Return the intervals at which the upstreams' entries are read.

    :param drain_seconds: Time within which a leaving upstream must stop
        getting new work.
    :param is_shared: True if the instance reads on behalf of others.
    """
    fraction = (
        SHARED_UPSTREAMS_PAUSE_FRACTION if is_shared else UPSTREAMS_PAUSE_FRACTION
    )
    return Pace(0.0, max(fraction * drain_seconds, UPSTREAMS_PAUSE_MIN_SECONDS))


class GatewayProcess:
    """
    The gateway process of an instance.

    :param options: Start options.
    :param adapter: The adapter to the users' platform.
    :param clock: Source of the current time.
    """

    def __init__(
        self, options: GatewayOptions, adapter: GatewayAdapter, clock: Clock
    ) -> None:
        self._options = options
        self._adapter = adapter
        self._clock = clock
        self._stop_signalled_seconds = 0.0
        own = Member(
            options.instance_id,
            secrets.token_hex(SECRET_BYTES),
            options.zone,
            options.front_address,
            options.peer_address,
        )
        self._state = GatewayState.create(own, options, clock.now_seconds())
        self._history = HistoryWatch(clock)
        self._store = InstrumentedStore(
            adapter.store, self._state.telemetry, clock, self._history
        )
        self._applier = RecordApplier(self._state, adapter, clock)
        self._watcher = CallerWatcher()
        self._max_concurrent_requests = max_concurrent_requests(options.descriptors)
        self._permits = PermitBroker(
            self._state.limits,
            self._state.limit_keeper,
            self._state.members,
            self._state.telemetry,
            lambda: self._state.is_ready,
            clock,
        )
        statements = StatementObserver(
            self._state.directory, self._state.limits, self._state.telemetry, clock
        )
        adapter.transport.on_statements = statements.observe
        adapter.duty_calls.on_statements = statements.observe
        self._handler = self._make_handler()
        self._duty_worker = self._make_duty_worker()
        self._unanswered = UnansweredConnections(self._state.telemetry)
        self._front = FrontServer(
            options.front_address,
            self._handler,
            adapter.decoder,
            self._state.table,
            clock,
            self._max_concurrent_requests,
            self._unanswered,
            self._state.memory,
            front_bounds(
                options.descriptors,
                options.memory_bytes,
                self._max_concurrent_requests,
            ),
        )
        self._make_followers()
        self._reports = StateReporter(
            self._state,
            self._duty_worker,
            self._applier,
            clock,
        )
        self._info_servers = self._make_info_servers()
        self._survey = CacheSurvey(self._state, adapter.transport, options.zone, clock)

    def run(self) -> None:
        """Serve until :meth:`request_stop` is called, then stop gracefully."""
        GatewayStarting(
            instance_id=self._state.local_member.instance_id,
            incarnation=self._state.local_member.incarnation,
            is_first_start=self._options.is_first_start,
        ).write()
        self._watcher.start()
        self._configuration.start()
        self._upstreams.start()
        try:
            self._front.start_in_background(self._state.stopping.is_set)
        except BindAbandoned as abandoned:
            GatewayNotServing(reason=f"{abandoned} is in use").write()
            return
        # Callers are told of this instance only once they can connect to it.
        for server in self._info_servers:
            server.start()
        threading.Thread(target=self._join, name="join", daemon=True).start()
        if not self._options.is_first_start:
            self._survey.start()
        self._duty_worker.start()
        self._state.stopping.wait()
        self._stop()
        MemoryUsed(
            resident_peak_bytes=peak_resident_bytes(),
            memory_bytes=self._options.memory_bytes,
            held_peak_bytes=self._state.memory.peak_bytes,
            limit_bytes=self._state.memory.limit_bytes,
        ).write()

    def request_stop(self, signalled_seconds: float) -> None:
        """
        Request a graceful stop; safe to call from a signal handler.

        :param signalled_seconds: Monotonic time of the signal.
        """
        self._stop_signalled_seconds = signalled_seconds
        self._state.stopping.set()

    def update(self, options: GatewayOptions) -> None:
        """
        Apply changed retry and quota limits; other options need a restart.

        :param options: The new options.
        """
        self._options = options
        self._state.budget.set_limits(
            options.retry_ratio, options.retry_slack, options.retry_window_seconds
        )
        self._state.quotas.set_slack(options.quota_slack_units)

    def _make_handler(self) -> RequestHandler:
        state = self._state
        context = RelayContext(
            self._clock,
            self._options.zone,
            state.directory,
            state.loads,
            state.prefixes,
            state.slowdowns,
            state.placements,
            state.budget,
            state.limits,
            self._permits,
            self._adapter.transport,
            state.usage,
            state.telemetry,
            ReturnSchedule(state.directory, state.members),
            state.crashes,
            state.memory,
        )
        return RequestHandler(
            context,
            state.table,
            state.quotas,
            self._watcher,
            self._max_concurrent_requests,
        )

    def _make_duty_worker(self) -> DutyWorker:
        state, options = self._state, self._options
        duty_lease = DutyLease(
            self._store,
            options.instance_id,
            options.lease_seconds,
            self._clock,
            self._history,
            options.is_fencing_checked,
        )
        return DutyWorker(
            duty_lease,
            self._adapter.duty_calls,
            state.table,
            state.directory,
            state.members,
            state.usage_table,
            options.zones,
            options.usage_window_seconds,
            self._clock,
        )

    def _make_followers(self) -> None:
        adapter, applier = self._adapter, self._applier
        drain_seconds = self._options.drain_seconds
        self._configuration = TopicFollower(
            self._store,
            FollowPlan(
                adapter.configuration_topic,
                CONFIGURATION_PACE,
                SHARED_CONFIGURATION_PACE,
            ),
            self._clock,
            applier.apply_configuration,
            applier.retain_evacuations,
            on_return=applier.return_evacuations,
        )
        self._upstreams = TopicFollower(
            self._store,
            FollowPlan(
                adapter.upstreams_topic,
                upstreams_pace(drain_seconds, is_shared=False),
                upstreams_pace(drain_seconds, is_shared=True),
            ),
            self._clock,
            applier.apply_upstream,
            applier.retain_upstreams,
            applier.on_upstreams_read,
            self._state.outage,
            applier.return_upstreams,
        )
        self._member_records = TopicFollower(
            self._store,
            FollowPlan(MEMBERS_TOPIC, MEMBERS_PACE, SHARED_MEMBERS_PACE),
            self._clock,
            applier.apply_member,
            applier.retain_members,
            applier.on_members_read,
            on_return=applier.return_members,
        )

    def _make_info_servers(self) -> tuple[InfoServer, ...]:
        endpoints = InstanceEndpoints(
            self._state,
            self._adapter,
            self._clock,
            lambda: self._handler.under_way,
            self._duty_worker.held_epoch,
        )
        options = self._options
        endpoint_handlers = (
            (options.ready_address, endpoints.ready),
            (options.directory_address, endpoints.resolve),
            (options.metrics_address, endpoints.metrics),
        )
        return tuple(
            InfoServer(
                address,
                handler,
                self._state.table,
                self._clock,
                self._unanswered,
                self._state.memory,
                info_bounds(options.descriptors),
            )
            for address, handler in endpoint_handlers
        )

    def _join(self) -> None:
        """Start gossip and publish this instance's record to the others."""
        own = self._state.local_member
        followers = (self._configuration, self._upstreams, self._member_records)
        secret = ensure_shared_secret(self._store)
        gossip = Gossip(
            self._state.members,
            PeerIdentity(own.instance_id, PeerProgram.ENTRY, own.zone, "gateway"),
            secret,
            StoreFeed(followers, self._clock, self._history),
            GossipHandlers(
                make_report=self._reports.make,
                apply_report=self._reports.apply,
                confirm_unchanged=self._reports.confirm_unchanged,
                work_announced=self._state.loads.add_announced_work,
                configuration_version=lambda: self._state.table.version,
                current_configuration=self._applier.current_configuration,
                put_configuration=self._applier.put_peer_configuration,
                permit_requested=self._reports.decide_permit,
            ),
            self._clock,
        )
        self._state.loads.announce = gossip.announce
        self._permits.ask = gossip.ask_permit
        gossip.start()
        for follower in followers:
            follower.read_mode = gossip.read_mode
        publish_member(self._store, own)
        own_records = OwnRecords(
            self._store, own, secret, gossip.add_secret, self._state.stopping
        )
        self._applier.on_member_lost = own_records.member_lost
        self._applier.on_store_returned = own_records.store_returned
        self._member_records.start()
        GatewayJoined(instance_id=own.instance_id).write()

    def _stop(self) -> None:
        started_seconds = self._stop_signalled_seconds
        GatewayStopping(
            under_way=self._handler.under_way,
            noticed_after_seconds=self._clock.now_seconds() - started_seconds,
        ).write()
        sequence = StopSequence(
            stop_schedule(started_seconds, self._options.grace_seconds),
            self._front,
            self._handler,
            self._info_servers,
            self._withdraw,
            self._clock,
        )
        sequence.begin()
        # The store may be slow to take the release of the duty.
        release = threading.Thread(
            target=self._duty_worker.stop, name="duty-stop", daemon=True
        )
        run_part("release", release.start)
        sequence.run()
        GatewayStopped(
            under_way=self._front.under_way,
            unread=self._unanswered.count(UnansweredStage.UNREAD),
            cancelled=self._unanswered.count(UnansweredStage.PASSED_ON),
            took_seconds=self._clock.now_seconds() - started_seconds,
        ).write()

    def _withdraw(self) -> None:
        end_offset = self._member_records.end_offset
        if end_offset is None:
            # The instance did not finish joining: the member topic was never
            # read, so there is no end offset for the conditional delete.
            return
        withdraw_member(self._store, self._state.local_member.instance_id, end_offset)
