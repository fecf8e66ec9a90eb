"""Reads the cached prefixes of engines after all instances have restarted."""

import threading
from collections.abc import Iterable

from waxwingwinch._types import ZoneName
from waxwingwinch.gateway._cluster_log_lines import SurveyRead, SurveyUnanswered
from waxwingwinch.gateway._permits import choose_keeper
from waxwingwinch.gateway._silence import has_cells
from waxwingwinch.gateway._state import GatewayState
from waxwingwinch.gateway._transport import UpstreamTransport
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.cold import OwnCallSkipped
from waxwingwinch.http import AnswerMissing, NotSent
from waxwingwinch.kernel import Clock

#: How long the survey waits for the registry entries of upstreams.
ENTRIES_TIMEOUT_SECONDS = 3.0
#: Pause between two checks for registered engines.
POLL_INTERVAL_SECONDS = 0.05
#: How long the survey waits for the records of the other instances; they are
#: read within some ms once the instance has joined.
MEMBERS_TIMEOUT_SECONDS = 1.0
#: Time after which engines are read that another instance should have read:
#: twice the time within which reports of all instances arrive.
FOLLOW_UP_SECONDS = 1.5


class CacheSurvey:
    """
    Reads once which prompt parts the engines of this availability zone cache.

    The engines of the other availability zones are read by the instances
    there, which send the result in their reports. The request has a price and
    delays the engine, so it is sent only when nothing is known of the caches.
    Where there are many instances, each reads a part of the zone's engines
    first, and later those of which it has heard nothing.

    :param state: The state of the process.
    :param transport: Carries calls to upstreams.
    :param zone: Availability zone of this process.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        state: GatewayState,
        transport: UpstreamTransport,
        zone: ZoneName,
        clock: Clock,
    ) -> None:
        self._state = state
        self._transport = transport
        self._zone = zone
        self._clock = clock

    def start(self) -> None:
        """Start the survey in a separate thread."""
        threading.Thread(target=self.run, name="cache-survey", daemon=True).start()

    def run(self) -> None:
        """Read the caches of all engines of the availability zone."""
        end_seconds = self._clock.now_seconds() + ENTRIES_TIMEOUT_SECONDS
        pause = threading.Event()
        while not self._zone_engines() and self._clock.now_seconds() < end_seconds:
            pause.wait(POLL_INTERVAL_SECONDS)
        end_seconds = self._clock.now_seconds() + MEMBERS_TIMEOUT_SECONDS
        while not self._state.members.others() and (
            self._clock.now_seconds() < end_seconds
        ):
            pause.wait(POLL_INTERVAL_SECONDS)
        if has_cells(len(self._state.members.others()) + 1):
            self.read(self.assigned_engines())
            pause.wait(FOLLOW_UP_SECONDS)
            self.read(self.unknown_engines())
        else:
            self.read(self._zone_engines())

    def assigned_engines(self) -> list[tuple[Upstream, int]]:
        """Return the zone's engines that this instance reads for others."""
        own = self._state.local_member
        instances = [own, *self._state.members.others()]
        return [
            (engine, capacity_tokens)
            for engine, capacity_tokens in self._zone_engines()
            if choose_keeper(engine, instances) == own
        ]

    def unknown_engines(self) -> list[tuple[Upstream, int]]:
        """Return the zone's engines of whose caches nothing is known."""
        return [
            (engine, capacity_tokens)
            for engine, capacity_tokens in self._zone_engines()
            if not self._state.prefixes.knows(engine.upstream_id)
        ]

    def read(self, engines: Iterable[tuple[Upstream, int]]) -> None:
        """
        Read the caches of engines, and report them to the other instances.

        :param engines: The engines and their KV cache capacities.
        """
        for engine, capacity_tokens in engines:
            if self._state.cold.is_limited(engine, self._clock.now_seconds()):
                # Its cache is as good as empty.
                OwnCallSkipped(
                    upstream_id=engine.upstream_id, call="cache survey"
                ).write()
                continue
            try:
                parts = self._transport.cached_parts(engine)
            except (NotSent, AnswerMissing) as error:
                SurveyUnanswered(
                    upstream_id=engine.upstream_id,
                    reason=str(error),
                ).write()
                continue
            self._state.prefixes.record_use(engine.upstream_id, parts, capacity_tokens)
            self._state.placements.add(engine.upstream_id, parts)
            SurveyRead(
                upstream_id=engine.upstream_id,
                parts=len(parts),
                held=sum(part.tokens for part in parts),
            ).write()

    def _zone_engines(self) -> list[tuple[Upstream, int]]:
        """Return the engines of the zone and their KV cache capacities."""
        table = self._state.table.get()
        services = table.configuration.services if table is not None else {}
        engines = []
        for upstream in self._state.directory.all():
            service = services.get(upstream.service)
            traits = service.engine if service is not None else None
            is_local = upstream.zone == self._zone
            is_evacuated = self._state.evacuated.contains(upstream.zone)
            if traits is not None and is_local and not is_evacuated:
                engines.append((upstream, traits.kv_capacity_tokens))
        return engines
