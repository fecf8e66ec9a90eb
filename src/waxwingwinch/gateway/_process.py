"""The gateway's process: its services and how they hang together."""

import secrets
import threading
import time
from collections.abc import Callable
from typing import Protocol, TypeVar
from urllib.parse import parse_qs

import eliot
from attrs import frozen

from waxwingwinch._exceptions import (
    MalformedMessage,
    PeerUnavailable,
    PlatformRefused,
    PlatformUnavailable,
)
from waxwingwinch._types import Address, InstanceId, UpstreamId, ZoneName
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.gateway._duty import StewardDuty
from waxwingwinch.gateway._follower import FollowPlan, TopicFollower
from waxwingwinch.gateway._front import FrontServer, RequestDecoder
from waxwingwinch.gateway._gossip import (
    Gossip,
    InstanceReport,
    PlacementLog,
    StageSwitchReport,
)
from waxwingwinch.gateway._handler import RequestHandler
from waxwingwinch.gateway._info_server import InfoReply, InfoServer
from waxwingwinch.gateway._job import RelayTools
from waxwingwinch.gateway._loads import LoadBook, UpstreamLoad
from waxwingwinch.gateway._members import Member, MemberDirectory, addresses_for
from waxwingwinch.gateway._model import GatewayConfiguration
from waxwingwinch.gateway._outage import OutageTracker
from waxwingwinch.gateway._prefixes import PrefixIndex
from waxwingwinch.gateway._quota import QuotaBook
from waxwingwinch.gateway._requests import PromptPart
from waxwingwinch.gateway._retry_budget import RetryBudget
from waxwingwinch.gateway._steward import Steward, StewardCalls
from waxwingwinch.gateway._store import AppendConflict, KeyedRecord, PlatformStore
from waxwingwinch.gateway._tables import CurrentTable
from waxwingwinch.gateway._telemetry import Gauge, Telemetry
from waxwingwinch.gateway._transport import UpstreamTransport
from waxwingwinch.gateway._upstreams import Upstream, UpstreamDirectory
from waxwingwinch.gateway._usage_counts import UsageCounts
from waxwingwinch.gateway._usage_table import UsageTable
from waxwingwinch.gateway._watcher import CallerWatcher
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import PeerIdentity, PeerProgram

#: Topic of the instances' records.
MEMBERS_TOPIC = "members"
#: Topic of the secret that the instances share.
SECRET_TOPIC = "peer-secret"
#: Key of that secret.
SECRET_KEY = "secret"
#: How long the store may hold a read of the configuration. A connection that
#: fell silent is noticed after it, well within the time to be in force.
CONFIGURATION_WAIT_SECONDS = 2.0
#: The same for the instances' records, which change seldom.
MEMBERS_WAIT_SECONDS = 5.0
#: Interval at which the upstreams' entries are read; they are written all
#: the time, and a leaving one has to be noticed within two seconds.
UPSTREAMS_PAUSE_SECONDS = 0.6
#: Pause before the store is asked again for what a start needs.
START_PAUSE_SECONDS = 0.2
#: Time for which callers may use an answer about addresses.
ADDRESS_LIFE_SECONDS = 1.0
#: Part of the time to stop after which no new connection is accepted; until
#: then callers who have not asked again still come.
ACCEPT_GRACE_SHARE = 0.55
#: Part of the time to stop after which the process ends in any case.
END_GRACE_SHARE = 0.93
#: Pause between two looks at what is still under way.
STOP_POLL_SECONDS = 0.05

#: Path of the metrics.
METRICS_PATH = "/metrics"

_SECRET_BYTES = 16

T = TypeVar("T")


class GatewayAdapter(Protocol):
    """What the users' platform brings."""

    @property
    def store(self) -> PlatformStore:
        """The platform's store."""

    @property
    def transport(self) -> UpstreamTransport:
        """Carries calls to upstreams."""

    @property
    def steward_calls(self) -> StewardCalls:
        """The calls of the duty's holder."""

    @property
    def decoder(self) -> RequestDecoder:
        """Interprets callers' requests."""

    @property
    def configuration_topic(self) -> str:
        """The topic that holds the configuration."""

    @property
    def configuration_key(self) -> str:
        """The key of the configuration in its topic."""

    @property
    def upstreams_topic(self) -> str:
        """The topic in which upstreams register themselves."""

    def decode_configuration(self, payload: bytes) -> GatewayConfiguration:
        """
        Decode a version of the configuration.

        :param payload: As the store holds it.
        :raises MalformedMessage: If it is not a configuration.
        """

    def decode_upstream(
        self, upstream_id: str, payload: bytes, now_seconds: float
    ) -> Upstream:
        """
        Decode an upstream's entry.

        :param upstream_id: Its key.
        :param payload: As the store holds it.
        :param now_seconds: Monotonic time.
        :raises MalformedMessage: If it names no upstream to use.
        """

    def read_resolve(self, path: str, query: dict[str, list[str]]) -> ZoneName | None:
        """
        Read a caller's question which addresses to use.

        :param path: Path of the question.
        :param query: Its query.
        :returns: The caller's availability zone; None if it is no question.
        """

    def encode_resolve(
        self, addresses: tuple[Address, ...], life_seconds: float
    ) -> bytes:
        """
        Encode the answer to a caller's question.

        :param addresses: The addresses.
        :param life_seconds: How long they may be used.
        """


@frozen
class GatewayOptions:
    """
    What a process is told at its start.

    :param instance_id: Name of the instance.
    :param zone: Its availability zone.
    :param zones: All availability zones.
    :param front_address: Where callers connect.
    :param ready_address: Where the platform asks whether it is ready.
    :param directory_address: Where callers ask which address to use.
    :param peer_address: Where other instances connect.
    :param metrics_address: Where metrics are read.
    :param is_first_start: True if nothing ran before.
    :param retry_ratio: Repeats allowed for each request.
    :param retry_slack: Repeats allowed besides in one window.
    :param retry_window_seconds: The window.
    :param quota_slack_units: Tolerated overshoot of a quota.
    :param lease_seconds: Length of a lease on a duty.
    :param grace_seconds: Time from the request to stop until the end.
    :param usage_window_seconds: Length of a usage window.
    """

    instance_id: InstanceId
    zone: ZoneName
    zones: tuple[ZoneName, ...]
    front_address: Address
    ready_address: Address
    directory_address: Address
    peer_address: Address
    metrics_address: Address
    is_first_start: bool
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    quota_slack_units: float
    lease_seconds: float
    grace_seconds: float
    usage_window_seconds: float


class GatewayProcess:
    """
    One start of the gateway on an instance.

    :param options: What it was told.
    :param adapter: What the users' platform brings.
    :param clock: Source of the present time.
    """

    def __init__(
        self, options: GatewayOptions, adapter: GatewayAdapter, clock: Clock
    ) -> None:
        self._options = options
        self._adapter = adapter
        self._clock = clock
        self._own = Member(
            options.instance_id,
            secrets.token_hex(_SECRET_BYTES),
            options.zone,
            options.front_address,
            options.peer_address,
        )
        self._members = MemberDirectory(self._own)
        self._table = CurrentTable()
        self._payload = b""
        self._directory = UpstreamDirectory()
        self._loads = LoadBook()
        self._prefixes = PrefixIndex()
        self._placements = PlacementLog()
        self._quotas = QuotaBook(
            self._own.incarnation,
            options.quota_slack_units,
            options.is_first_start,
            clock.now_seconds(),
        )
        self._budget = RetryBudget(
            options.retry_ratio, options.retry_slack, options.retry_window_seconds
        )
        self._usage = UsageCounts(options.usage_window_seconds)
        self._usage_table = UsageTable()
        self._watcher = CallerWatcher()
        self._telemetry = Telemetry()
        tools = RelayTools(
            clock,
            options.zone,
            self._directory,
            self._loads,
            self._prefixes,
            self._placements,
            self._budget,
            adapter.transport,
            self._usage,
            self._telemetry,
        )
        self._handler = RequestHandler(tools, self._table, self._quotas, self._watcher)
        self._front = FrontServer(
            options.front_address, self._handler, adapter.decoder, self._table, clock
        )
        self._ready = InfoServer(options.ready_address, self._answer_ready)
        self._resolver = InfoServer(options.directory_address, self._answer_resolve)
        self._metrics = InfoServer(options.metrics_address, self._answer_metrics)
        duty = StewardDuty(
            adapter.store, options.instance_id, options.lease_seconds, clock
        )
        self._steward = Steward(
            duty,
            adapter.steward_calls,
            self._table,
            self._directory,
            self._members,
            self._usage_table,
            options.zones,
            options.usage_window_seconds,
            clock,
        )
        self._gossip: Gossip | None = None
        self._outage = OutageTracker()
        self._configuration = TopicFollower(
            adapter.store,
            FollowPlan(adapter.configuration_topic, CONFIGURATION_WAIT_SECONDS),
            clock,
            self._apply_configuration,
        )
        self._upstreams = TopicFollower(
            adapter.store,
            FollowPlan(adapter.upstreams_topic, 0.0, UPSTREAMS_PAUSE_SECONDS),
            clock,
            self._apply_upstream,
            self._keep_upstreams,
            self._expire_upstreams,
            self._outage,
        )
        self._member_records = TopicFollower(
            adapter.store,
            FollowPlan(MEMBERS_TOPIC, MEMBERS_WAIT_SECONDS),
            clock,
            self._apply_member,
            self._members.keep_only,
        )
        self._stopping = threading.Event()

    def run(self) -> None:
        """Serve until :meth:`request_stop`, then stop in good order."""
        eliot.log_message(
            "gateway:starting",
            instance_id=self._own.instance_id,
            incarnation=self._own.incarnation,
            is_first_start=self._options.is_first_start,
        )
        self._watcher.start()
        self._configuration.start()
        self._upstreams.start()
        self._ready.start()
        self._resolver.start()
        self._metrics.start()
        self._front.run()
        threading.Thread(target=self._join, name="join", daemon=True).start()
        self._steward.start()
        self._stopping.wait()
        self._stop()

    def request_stop(self) -> None:
        """Begin a planned stop; may be called from a signal handler."""
        self._stopping.set()

    def _join(self) -> None:
        """Become known to the other instances."""
        secret = self._retry(self._shared_secret)
        gossip = Gossip(
            self._members,
            PeerIdentity(
                self._own.instance_id, PeerProgram.ENTRY, self._own.zone, "gateway"
            ),
            secret,
            self._clock,
            self._report,
        )
        gossip.on_report(self._apply_report)
        gossip.on_configuration_request(lambda: self._payload)
        gossip.start()
        self._gossip = gossip
        self._retry(self._publish_member)
        self._member_records.start()
        eliot.log_message("gateway:joined", instance_id=self._own.instance_id)

    def _retry(self, call: Callable[[], T]) -> T:
        while True:
            try:
                return call()
            except (PlatformUnavailable, PlatformRefused) as error:
                eliot.log_message(
                    "store:unanswered", call=call.__name__, reason=str(error)
                )
                time.sleep(START_PAUSE_SECONDS)

    def _shared_secret(self) -> str:
        proposal = secrets.token_hex(_SECRET_BYTES).encode()
        try:
            self._adapter.store.put_first(SECRET_TOPIC, SECRET_KEY, proposal)
        except AppendConflict:
            eliot.log_message("gateway:secret_exists")
        for record in self._adapter.store.snapshot(SECRET_TOPIC).records:
            if record.key == SECRET_KEY and record.value is not None:
                return record.value.decode()
        raise PlatformUnavailable("the store holds no shared secret", False)

    def _publish_member(self) -> None:
        self._adapter.store.put(
            MEMBERS_TOPIC, self._own.instance_id, encode_message(self._own)
        )

    def _apply_configuration(self, record: KeyedRecord) -> None:
        if record.key == self._adapter.configuration_key and record.value:
            self._put_configuration(record.value)

    def _put_configuration(self, payload: bytes) -> None:
        try:
            configuration = self._adapter.decode_configuration(payload)
        except MalformedMessage as error:
            eliot.log_message("configuration:malformed", reason=str(error))
            return
        if self._table.publish(configuration):
            self._payload = payload

    def _apply_upstream(self, record: KeyedRecord) -> None:
        upstream_id = UpstreamId(record.key)
        now_seconds = self._clock.now_seconds()
        if record.value is None:
            self._drop_upstream(upstream_id, now_seconds)
            return
        try:
            upstream = self._adapter.decode_upstream(
                record.key, record.value, now_seconds
            )
        except MalformedMessage as error:
            eliot.log_message("upstream:malformed", reason=str(error))
            self._drop_upstream(upstream_id, now_seconds)
            return
        before = self._directory.put(upstream)
        if before is not None and before.born_ms != upstream.born_ms:
            self._prefixes.forget(upstream_id)
        if before is None or before.state is not upstream.state:
            eliot.log_message(
                "upstream:registered",
                upstream_id=upstream_id,
                service=upstream.service,
                zone=upstream.zone,
                state=upstream.state.value,
                role=upstream.role.value if upstream.role else None,
                is_spot=upstream.is_spot,
                offset=record.offset,
            )

    def _drop_upstream(self, upstream_id: UpstreamId, now_seconds: float) -> None:
        if self._outage.may_have_lapsed(now_seconds):
            self._directory.lapse(upstream_id, now_seconds)
        else:
            self._directory.remove(upstream_id)
        self._prefixes.forget(upstream_id)
        eliot.log_message("upstream:entry_gone", upstream_id=upstream_id)

    def _keep_upstreams(self, keys: frozenset[str]) -> None:
        now_seconds = self._clock.now_seconds()
        for upstream in self._directory.all():
            if upstream.upstream_id not in keys:
                self._drop_upstream(upstream.upstream_id, now_seconds)

    def _expire_upstreams(self) -> None:
        for upstream_id in self._directory.expire_lapsed(self._clock.now_seconds()):
            eliot.log_message("upstream:lapsed", upstream_id=upstream_id)

    def _apply_member(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._members.remove(InstanceId(record.key))
            return
        try:
            member = decode_message(record.value)
        except MalformedMessage as error:
            eliot.log_message("member:malformed", reason=str(error))
            return
        if isinstance(member, Member):
            self._members.put(member)

    def _report(self, known_sequence: int) -> InstanceReport:
        now_seconds = self._clock.now_seconds()
        loads = self._loads.own()
        self._usage_table.heard(self._own.incarnation, self._usage.windows())
        return InstanceReport(
            instance_id=self._own.instance_id,
            incarnation=self._own.incarnation,
            is_ready=self._is_ready(),
            configuration_version=self._table.version,
            held_epoch=self._steward.held_epoch(),
            store_age_seconds=self._store_age_seconds(),
            waiting_tokens={key: load.waiting_tokens for key, load in loads.items()},
            running={key: load.running for key, load in loads.items()},
            quota_totals=self._quotas.own_totals(),
            usage=self._usage.windows(),
            unreachable=self._directory.unreachable(now_seconds),
            switching=self._switching(now_seconds),
            placements=self._placements.after(known_sequence),
        )

    def _switching(self, now_seconds: float) -> tuple[StageSwitchReport, ...]:
        if self._steward.held_epoch() is None:
            return ()
        return tuple(
            StageSwitchReport(
                upstream_id, switch.role, switch.until_seconds - now_seconds
            )
            for upstream_id, switch in self._directory.switches(now_seconds).items()
        )

    def _store_age_seconds(self) -> float | None:
        read_seconds = self._upstreams.read_seconds
        if read_seconds is None:
            return None
        return self._clock.now_seconds() - read_seconds

    def _apply_report(self, report: InstanceReport) -> None:
        now_seconds = self._clock.now_seconds()
        self._members.heard(report.instance_id, report.is_ready, now_seconds)
        loads = {
            key: UpstreamLoad(report.waiting_tokens.get(key, 0), running)
            for key, running in report.running.items()
        }
        self._loads.heard(report.instance_id, loads, now_seconds)
        self._quotas.heard(report.incarnation, report.quota_totals, now_seconds)
        self._usage_table.heard(report.incarnation, report.usage)
        self._budget.set_instances(self._members.sharing_count(now_seconds))
        if report.store_age_seconds is not None:
            self._outage.peer_read(report.store_age_seconds, now_seconds)
        if report.held_epoch is not None:
            self._steward.holder_heard(report.instance_id, now_seconds)
        for upstream_id in report.unreachable:
            self._directory.unreached_elsewhere(upstream_id, now_seconds)
        for switch in report.switching:
            self._directory.switch_stage(
                switch.upstream_id, switch.role, now_seconds + switch.left_seconds
            )
        for placement in report.placements:
            self._note_placement(placement.upstream_id, placement.parts())
        if report.configuration_version > self._table.version:
            self._fetch_configuration(report.instance_id)

    def _note_placement(
        self, upstream_id: UpstreamId, parts: tuple[PromptPart, ...]
    ) -> None:
        upstream = self._directory.get(upstream_id)
        table = self._table.get()
        if upstream is None or table is None:
            return
        service = table.configuration.services.get(upstream.service)
        if service is not None and service.engine is not None:
            capacity_tokens = service.engine.kv_capacity_tokens
            self._prefixes.used(upstream_id, parts, capacity_tokens)

    def _fetch_configuration(self, peer: InstanceId) -> None:
        if self._gossip is None:
            return
        try:
            payload = self._gossip.ask_configuration(peer, 1.0)
        except (PeerUnavailable, MalformedMessage) as error:
            eliot.log_message("configuration:unanswered", reason=str(error))
            return
        if payload:
            self._put_configuration(payload)

    def _is_ready(self) -> bool:
        return not self._stopping.is_set() and self._table.get() is not None

    def _answer_ready(self, path: str, query: str) -> InfoReply:
        status = "200 OK" if self._is_ready() else "503 Service Unavailable"
        return InfoReply(status)

    def _answer_resolve(self, path: str, query: str) -> InfoReply:
        zone = self._adapter.read_resolve(path, parse_qs(query))
        if zone is None:
            return InfoReply("404 Not Found")
        candidates = list(self._members.ready_others(self._clock.now_seconds()))
        if self._is_ready():
            candidates.append(self._own)
        if not candidates:
            return InfoReply("503 Service Unavailable")
        addresses = addresses_for(zone, candidates)
        body = self._adapter.encode_resolve(addresses, ADDRESS_LIFE_SECONDS)
        return InfoReply("200 OK", body)

    def _answer_metrics(self, path: str, query: str) -> InfoReply:
        if path != METRICS_PATH:
            return InfoReply("404 Not Found")
        text = self._telemetry.text(self._gauges())
        return InfoReply("200 OK", text, "text/plain; version=0.0.4")

    def _gauges(self) -> list[Gauge]:
        now_seconds = self._clock.now_seconds()
        upstreams: dict[tuple[str, str], int] = {}
        for upstream in self._directory.all():
            key = (upstream.service, upstream.state.value)
            upstreams[key] = upstreams.get(key, 0) + 1
        epoch = self._steward.held_epoch()
        age_seconds = self._store_age_seconds()
        return [
            Gauge("waxwing_configuration_version", (), self._table.version),
            Gauge("waxwing_requests_under_way", (), self._handler.under_way),
            Gauge("waxwing_duty_epoch", (), -1 if epoch is None else epoch),
            Gauge(
                "waxwing_store_age_seconds",
                (),
                -1 if age_seconds is None else age_seconds,
            ),
            Gauge(
                "waxwing_instances_heard",
                (),
                len(self._members.ready_others(now_seconds)),
            ),
            *(
                Gauge(
                    "waxwing_upstreams",
                    (("service", service), ("state", state)),
                    count,
                )
                for (service, state), count in upstreams.items()
            ),
        ]

    def _stop(self) -> None:
        started_seconds = self._clock.now_seconds()
        grace_seconds = self._options.grace_seconds
        eliot.log_message("gateway:stopping", under_way=self._handler.under_way)
        self._front.is_stopping = True
        self._steward.stop()
        accept_until_seconds = started_seconds + grace_seconds * ACCEPT_GRACE_SHARE
        end_seconds = started_seconds + grace_seconds * END_GRACE_SHARE
        while self._clock.now_seconds() < accept_until_seconds:
            time.sleep(STOP_POLL_SECONDS)
        while self._handler.under_way and self._clock.now_seconds() < end_seconds:
            time.sleep(STOP_POLL_SECONDS)
        eliot.log_message(
            "gateway:stopped",
            under_way=self._handler.under_way,
            took_seconds=self._clock.now_seconds() - started_seconds,
        )
