"""HTTP endpoints for readiness, discovery and metrics of the instance."""

from collections.abc import Callable
from urllib.parse import parse_qs

from waxwingwinch.gateway._info_server import InfoReply
from waxwingwinch.gateway._loads import NO_LOAD
from waxwingwinch.gateway._members import addresses_for
from waxwingwinch.gateway._options import GatewayAdapter
from waxwingwinch.gateway._process_memory import peak_resident_bytes, resident_bytes
from waxwingwinch.gateway._state import GatewayState
from waxwingwinch.gateway._telemetry import Gauge
from waxwingwinch.gateway.explanation import EXPLAIN_PATH
from waxwingwinch.gateway.homes import nearest_members
from waxwingwinch.kernel import Clock

#: Time for which callers may cache a list of addresses.
ADDRESS_LIFE_SECONDS = 1.0
#: Path of the metrics endpoint.
METRICS_PATH = "/metrics"
#: Gauge value if the quantity is not known.
UNKNOWN = -1.0


class InstanceEndpoints:
    """
    Serves the instance's readiness, the addresses for callers, and metrics.

    :param state: The state of the process.
    :param adapter: Decodes and encodes the discovery messages.
    :param clock: Source of the present time.
    :param under_way: Returns the number of requests in progress.
    :param held_epoch: Returns the epoch of the duty if this instance holds it,
        else None.
    :param configuration_age: Returns the time since the newest read of the
        configuration topic, given the present time; None before the first.
    :param explain: Explains where a request would go, given a query string.
    """

    def __init__(
        self,
        state: GatewayState,
        adapter: GatewayAdapter,
        clock: Clock,
        under_way: Callable[[], int],
        held_epoch: Callable[[], int | None],
        configuration_age: Callable[[float], float | None],
        explain: Callable[[str], InfoReply],
    ) -> None:
        self._state = state
        self._adapter = adapter
        self._clock = clock
        self._under_way = under_way
        self._held_epoch = held_epoch
        self._configuration_age = configuration_age
        self._explain = explain

    def ready(self, path: str, query: str) -> InfoReply:
        """
        Return whether the instance accepts callers.

        :param path: Unused; the response is the same for every path.
        :param query: Unused.
        """
        is_ready = self._state.is_ready
        return InfoReply("200 OK" if is_ready else "503 Service Unavailable")

    def resolve(self, path: str, query: str) -> InfoReply:
        """
        Return the addresses that a caller may connect to.

        :param path: Path of the request.
        :param query: Query string of the request.
        """
        resolve_query = self._adapter.read_resolve(path, parse_qs(query))
        if resolve_query is None:
            return InfoReply("404 Not Found")
        now_seconds = self._clock.now_seconds()
        candidates = list(self._state.members.ready_others(now_seconds))
        if self._state.is_ready:
            candidates.append(self._state.local_member)
        if not candidates:
            return InfoReply("503 Service Unavailable")
        table = self._state.table.get()
        home_regions = (
            table.home_regions(resolve_query.host) if table is not None else frozenset()
        )
        nearest = nearest_members(
            resolve_query, candidates, self._state.zone_regions, home_regions
        )
        addresses = addresses_for(resolve_query.zone, nearest)
        body = self._adapter.encode_resolve(addresses, ADDRESS_LIFE_SECONDS)
        return InfoReply("200 OK", body)

    def metrics(self, path: str, query: str) -> InfoReply:
        """
        Return the metrics in the Prometheus text format, or an explanation.

        :param path: Path of the request.
        :param query: Query string of the request, for an explanation.
        """
        if path == EXPLAIN_PATH:
            return self._explain(query)
        if path != METRICS_PATH:
            return InfoReply("404 Not Found")
        text = self._state.telemetry.text(self._gauges())
        return InfoReply("200 OK", text, "text/plain; version=0.0.4")

    def _gauges(self) -> list[Gauge]:
        now_seconds = self._clock.now_seconds()
        epoch = self._held_epoch()
        age_seconds = self._state.directory.age_seconds(now_seconds)
        configuration_seconds = self._configuration_age(now_seconds)
        ready_peer_count = len(self._state.members.ready_others(now_seconds))
        return [
            Gauge("waxwing_configuration_version", (), self._state.table.version),
            Gauge("waxwing_requests_under_way", (), self._under_way()),
            Gauge("waxwing_duty_epoch", (), UNKNOWN if epoch is None else epoch),
            Gauge(
                "waxwing_store_age_seconds",
                (),
                UNKNOWN if age_seconds is None else age_seconds,
            ),
            Gauge(
                "waxwing_configuration_age_seconds",
                (),
                UNKNOWN if configuration_seconds is None else configuration_seconds,
            ),
            Gauge("waxwing_blamed_parts", (), self._state.crashes.blamed_count()),
            Gauge("waxwing_instances_heard", (), ready_peer_count),
            Gauge("waxwing_evacuated_zones", (), len(self._state.evacuated.zones())),
            Gauge("waxwing_cold_upstreams", (), self._count_cold(now_seconds)),
            Gauge(
                "waxwing_unusual_upstreams",
                (),
                self._state.capacity.unusual_count(now_seconds),
            ),
            *self._memory_gauges(),
            *self._upstream_gauges(),
            *self._limit_gauges(now_seconds),
            *self._named_limit_gauges(now_seconds),
            *self._away_gauges(now_seconds),
            *self._load_gauges(now_seconds),
        ]

    def _count_cold(self, now_seconds: float) -> int:
        state = self._state
        return sum(
            state.cold.is_limited(upstream, now_seconds)
            for upstream in state.directory.all()
        )

    def _memory_gauges(self) -> list[Gauge]:
        """Return the memory of the process and of the requests' account."""
        memory = self._state.memory
        return [
            Gauge("waxwing_resident_bytes", (), resident_bytes()),
            Gauge("waxwing_resident_peak_bytes", (), peak_resident_bytes()),
            Gauge("waxwing_request_memory_bytes", (), memory.held_bytes),
            Gauge("waxwing_request_memory_peak_bytes", (), memory.peak_bytes),
            Gauge("waxwing_request_memory_limit_bytes", (), memory.limit_bytes),
        ]

    def _upstream_gauges(self) -> list[Gauge]:
        counts: dict[tuple[str, str], int] = {}
        for upstream in self._state.directory.all():
            key = (upstream.service, upstream.state.value)
            counts[key] = counts.get(key, 0) + 1
        return [
            Gauge("waxwing_upstreams", (("service", service), ("state", state)), count)
            for (service, state), count in counts.items()
        ]

    def _limit_gauges(self, now_seconds: float) -> list[Gauge]:
        """Return the remaining levels of quotas and retry budgets."""
        state = self._state
        table = state.table.get()
        if table is None:
            return []
        configuration = table.configuration
        gauges = [Gauge("waxwing_quota_share", (), state.quotas.share(now_seconds))]
        for customer in configuration.customers:
            level = state.quotas.level(customer, now_seconds)
            if level is not None:
                labels = (("customer", str(customer.customer_id)),)
                gauges.append(Gauge("waxwing_quota_level_units", labels, level))
        for service in configuration.services:
            level = state.budget.level(service, now_seconds)
            labels = (("service", service),)
            gauges.append(Gauge("waxwing_retry_budget_level", labels, level))
        return gauges

    def _named_limit_gauges(self, now_seconds: float) -> list[Gauge]:
        """Return the limits that upstreams name, with the age of each."""
        gauges = []
        for upstream in self._state.directory.all():
            limit = self._state.limits.get(upstream.upstream_id, upstream.started_ms)
            if limit is None or limit.limit_per_second is None:
                continue
            labels = (("upstream", str(upstream.upstream_id)),)
            age_seconds = now_seconds - limit.observed_seconds
            gauges += [
                Gauge(
                    "waxwing_upstream_limit_per_second", labels, limit.limit_per_second
                ),
                Gauge("waxwing_upstream_limit_age_seconds", labels, age_seconds),
            ]
        return gauges

    def _away_gauges(self, now_seconds: float) -> list[Gauge]:
        """Return the upstreams that want no request from this process."""
        table = self._state.table.get()
        services = table.configuration.services if table is not None else ()
        return [
            Gauge(
                "waxwing_upstream_away_seconds",
                (("upstream", str(upstream.upstream_id)),),
                until_seconds - now_seconds,
            )
            for service in services
            for upstream, until_seconds in self._state.directory.away(
                service, now_seconds
            ).items()
        ]

    def _load_gauges(self, now_seconds: float) -> list[Gauge]:
        """Return the work in progress by service, including that of peers."""
        waiting: dict[str, int] = {}
        running: dict[str, int] = {}
        totals = self._state.loads.totals(now_seconds)
        for upstream in self._state.directory.all():
            load = totals.get(upstream.upstream_id, NO_LOAD)
            service = upstream.service
            waiting[service] = waiting.get(service, 0) + load.waiting_tokens
            running[service] = running.get(service, 0) + load.running
        return [
            Gauge(name, (("service", service),), count)
            for name, counts in (
                ("waxwing_waiting_prompt_tokens", waiting),
                ("waxwing_running_requests", running),
            )
            for service, count in counts.items()
        ]
