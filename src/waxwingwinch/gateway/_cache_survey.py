"""Asking engines what they hold, after all instances have started anew."""

import threading

from waxwingwinch._types import ZoneName
from waxwingwinch.gateway._cluster_log_lines import SurveyRead, SurveyUnanswered
from waxwingwinch.gateway._state import GatewayState
from waxwingwinch.gateway._transport import UpstreamTransport
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.http import AnswerMissing, NotSent
from waxwingwinch.kernel import Clock

#: How long a start waits for the upstreams' entries.
ENTRIES_SECONDS = 3.0
#: Pause between two looks at them.
LOOK_SECONDS = 0.05


class CacheSurvey:
    """
    Reads once what the engines of this availability zone hold.

    The other zones' engines are read by the instances there, which tell of
    them in their reports. The question has a price and delays the engine, so
    it is asked only where nothing is known.

    :param state: The state of the process.
    :param transport: Carries calls to upstreams.
    :param zone: Where the process runs.
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
        """Start the survey in a thread of its own."""
        threading.Thread(target=self.run, name="cache-survey", daemon=True).start()

    def run(self) -> None:
        """Ask all engines of the zone."""
        end_seconds = self._clock.now_seconds() + ENTRIES_SECONDS
        pause = threading.Event()
        while not self._engines() and self._clock.now_seconds() < end_seconds:
            pause.wait(LOOK_SECONDS)
        for engine, capacity_tokens in self._engines():
            try:
                parts = self._transport.held_parts(engine)
            except (NotSent, AnswerMissing) as error:
                SurveyUnanswered(
                    upstream_id=engine.upstream_id,
                    reason=str(error),
                ).write()
                continue
            self._state.prefixes.used(engine.upstream_id, parts, capacity_tokens)
            self._state.placements.add(engine.upstream_id, parts)
            SurveyRead(
                upstream_id=engine.upstream_id,
                parts=len(parts),
                held=sum(part.tokens for part in parts),
            ).write()

    def _engines(self) -> list[tuple[Upstream, int]]:
        """Return the engines of the zone and the tokens that each holds."""
        table = self._state.table.get()
        services = table.configuration.services if table is not None else {}
        engines = []
        for upstream in self._state.directory.all():
            service = services.get(upstream.service)
            traits = service.engine if service is not None else None
            if traits is not None and upstream.zone == self._zone:
                engines.append((upstream, traits.kv_capacity_tokens))
        return engines
