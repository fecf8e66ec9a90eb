"""Applies records of the platform's store to the state of the process."""

from collections.abc import Callable

from attrs import evolve

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch._types import InstanceId, UpstreamId, ZoneName
from waxwingwinch.codec import decode_message
from waxwingwinch.gateway._cluster_log_lines import (
    LimitsShared,
    MemberMalformed,
    UpstreamEntryGone,
    UpstreamLapsed,
    UpstreamMalformed,
    UpstreamRegistered,
)
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._options import GatewayAdapter
from waxwingwinch.gateway._report_messages import ConfigurationReply
from waxwingwinch.gateway._state import GatewayState
from waxwingwinch.gateway._store import KeyedRecord
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.feeds import RecordEffect
from waxwingwinch.gateway.versions import ConfigurationIntake
from waxwingwinch.kernel import Clock


class RecordApplier:
    """
    Applies configuration, upstream and member records to the process state.

    :param state: The state of the process.
    :param adapter: Decodes the records.
    :param clock: Source of the current time.
    """

    def __init__(
        self, state: GatewayState, adapter: GatewayAdapter, clock: Clock
    ) -> None:
        self._state = state
        self._adapter = adapter
        self._clock = clock
        self._versions = ConfigurationIntake(state, adapter)
        #: Decodes the newest configuration among records of its topic.
        self.prepare_configuration = self._versions.prepare
        #: Called when the store lacks the member record of this process.
        self.on_member_lost: Callable[[], None] = lambda: None
        #: Called when the store has returned from an older copy.
        self.on_store_returned: Callable[[], None] = lambda: None
        #: The last entry of each upstream without its heartbeat fields.
        self._last_content: dict[UpstreamId, Upstream] = {}

    def apply_configuration(self, record: KeyedRecord) -> RecordEffect:
        """
        Apply a record of the configuration topic.

        :param record: The record.
        :returns: What the record changes.
        """
        if record.key == self._adapter.configuration_key and record.value:
            self._versions.apply(record)
        zone = self._adapter.decode_evacuated_zone(record.key)
        if zone is not None and record.value is None:
            self._state.evacuated.remove(zone)
        elif zone is not None:
            self._state.evacuated.put(zone)
        return RecordEffect.NEW

    def retain_evacuations(self, keys: frozenset[str]) -> None:
        """
        Put the evacuations of a snapshot in force, and end all others.

        Called before the records of the snapshot are applied, so that no
        request is served under its configuration without its evacuations.

        :param keys: The keys of the snapshot.
        """
        self._state.evacuated.set_all(self._evacuated_zones(keys))

    def return_evacuations(self, keys: frozenset[str]) -> None:
        """
        Put the evacuations of an older copy of the store in force.

        Those that the copy lacks stay in force, since the operator writes
        them again.

        :param keys: The keys of the snapshot.
        """
        self._state.evacuated.add_all(self._evacuated_zones(keys))

    def _evacuated_zones(self, keys: frozenset[str]) -> list[ZoneName]:
        zones = map(self._adapter.decode_evacuated_zone, keys)
        return [zone for zone in zones if zone is not None]

    def current_configuration(self) -> ConfigurationReply:
        """Return the newest known configuration, for an instance without."""
        state = self._state
        zones = tuple(sorted(state.evacuated.zones()))
        return ConfigurationReply(state.configuration_payload, zones)

    def put_peer_configuration(self, reply: ConfigurationReply) -> None:
        """
        Activate what a peer has read of the configuration topic.

        :param reply: The newest that the peer has read.
        """
        if not self._state.table.version:
            # A process that has read the topic knows the evacuations.
            self._state.evacuated.add_all(reply.evacuated_zones)
        self._versions.put(reply.payload)

    def apply_upstream(self, record: KeyedRecord) -> RecordEffect:
        """
        Apply an upstream's entry, or its removal.

        :param record: The record.
        :returns: What the record changes.
        """
        upstream_id = UpstreamId(record.key)
        if record.value is None:
            self._drop_upstream(upstream_id)
            return RecordEffect.NEW
        now_seconds = self._clock.now_seconds()
        try:
            upstream = self._adapter.decode_upstream(
                record.key, record.value, now_seconds
            )
        except MalformedMessage as error:
            UpstreamMalformed(record.key, str(error)).write()
            self._drop_upstream(upstream_id)
            return RecordEffect.NEW
        self._record_cold(upstream, now_seconds)
        previous = self._state.directory.put(upstream)
        if previous is not None and previous.started_ms != upstream.started_ms:
            self._state.prefixes.remove_engine(upstream_id)
            self._state.capacity.remove(upstream_id)
        known = self._state.directory.get(upstream_id)
        # An answer that says that the upstream leaves outweighs its entries.
        state = known.state if known is not None else upstream.state
        if previous is None or previous.state is not state:
            UpstreamRegistered(
                upstream_id=upstream_id,
                service=upstream.service,
                zone=upstream.zone,
                state=state.value,
                role=upstream.role.value if upstream.role else None,
                is_spot=upstream.is_spot,
                cold_seconds=max(upstream.cold_until_seconds - now_seconds, 0.0),
                offset=record.offset,
            ).write()
        return self._classify_entry(upstream)

    def _record_cold(self, upstream: Upstream, now_seconds: float) -> None:
        """Record whether an upstream is cold, before it gets requests."""
        directory = self._state.directory
        age_seconds = None
        if directory.age_seconds(now_seconds) is None:
            # The upstream may have started long before this process.
            started_seconds = upstream.started_ms / 1_000
            age_seconds = max(self._clock.wall_seconds() - started_seconds, 0.0)
        previous = directory.get(upstream.upstream_id)
        self._state.cold.put_entry(upstream, previous, age_seconds, now_seconds)

    def _classify_entry(self, upstream: Upstream) -> RecordEffect:
        """Classify an entry that was just applied."""
        known = self._state.directory.get(upstream.upstream_id)
        version = (upstream.started_ms, upstream.sequence)
        if known is None or (known.started_ms, known.sequence) != version:
            return RecordEffect.OUTDATED
        content = evolve(upstream, sequence=0, cold_until_seconds=0.0)
        previous = self._last_content.get(upstream.upstream_id)
        self._last_content[upstream.upstream_id] = content
        return RecordEffect.REPEATED if content == previous else RecordEffect.NEW

    def retain_upstreams(self, keys: frozenset[str]) -> None:
        """
        Remove the upstreams that a snapshot does not contain.

        :param keys: The keys of the snapshot.
        """
        for upstream in self._state.directory.all():
            if upstream.upstream_id not in keys:
                self._drop_upstream(upstream.upstream_id)

    def return_upstreams(self, keys: frozenset[str]) -> None:
        """
        Let upstreams lapse that an older copy of the store does not contain.

        :param keys: The keys of the snapshot.
        """
        self._state.outage.record_return(self._clock.now_seconds())
        self.retain_upstreams(keys)

    def on_upstreams_read(self, read_seconds: float) -> None:
        """
        Record a read of the upstreams, and remove lapsed upstreams.

        An upstream is removed if its entry lapsed during an outage of the
        store and was not renewed in time.

        :param read_seconds: Monotonic time of the read.
        """
        now_seconds = self._clock.now_seconds()
        self._state.directory.record_read(read_seconds)
        self._state.cold.record_read(read_seconds)
        for upstream_id in self._state.directory.expire_lapsed(now_seconds):
            UpstreamLapsed(upstream_id=upstream_id).write()

    def apply_member(self, record: KeyedRecord) -> RecordEffect:
        """
        Apply an instance's record, or its removal.

        :param record: The record.
        :returns: What the record changes.
        """
        is_own = record.key == self._state.local_member.instance_id
        if record.value is None:
            if is_own:
                self.on_member_lost()
            else:
                self._state.members.remove(InstanceId(record.key))
            return RecordEffect.NEW
        try:
            member = decode_message(record.value)
        except MalformedMessage as error:
            MemberMalformed(record.key, str(error)).write()
            return RecordEffect.NEW
        if is_own and member != self._state.local_member:
            self.on_member_lost()
        elif isinstance(member, Member):
            self._state.members.put(member)
        return RecordEffect.NEW

    def retain_members(self, keys: frozenset[str]) -> None:
        """
        Remove the instances that a snapshot does not contain.

        :param keys: The keys of the snapshot.
        """
        self._check_own_record(keys)
        self._state.members.retain_only(keys | {self._state.local_member.instance_id})

    def return_members(self, keys: frozenset[str]) -> None:
        """
        Keep the instances that an older copy of the store does not contain.

        They write their records again.

        :param keys: The keys of the snapshot.
        """
        self._check_own_record(keys)
        self.on_store_returned()

    def _check_own_record(self, keys: frozenset[str]) -> None:
        if self._state.local_member.instance_id not in keys:
            self.on_member_lost()

    def on_members_read(self, _: float) -> None:
        """Recompute the shares of quotas and budgets after a read."""
        self.share_limits()
        self._state.cold_keeper.record_members(self._clock.now_seconds())

    def share_limits(self) -> None:
        """Divide quotas and budgets among the instances with a record."""
        state, now_seconds = self._state, self._clock.now_seconds()
        peers = state.members.peer_incarnations()
        if state.quotas.set_recorded_peers(peers):
            LimitsShared(len(peers) + 1).write()
        state.budget.set_instances(state.members.budget_sharer_count(now_seconds))

    def _drop_upstream(self, upstream_id: UpstreamId) -> None:
        now_seconds = self._clock.now_seconds()
        self._last_content.pop(upstream_id, None)
        may_be_back = self._state.outage.may_have_lapsed(now_seconds)
        if may_be_back:
            self._state.directory.mark_lapsed(upstream_id, now_seconds)
        else:
            self._state.directory.remove(upstream_id)
        self._state.prefixes.remove_engine(upstream_id)
        self._state.capacity.remove(upstream_id)
        UpstreamEntryGone(upstream_id=upstream_id, may_be_back=may_be_back).write()
