"""Makes the choices for a request without charging or sending anything."""

from attrs import frozen

from waxwingwinch._types import CustomerId, EngineRole, UpstreamId, ZoneName
from waxwingwinch.gateway._admission import Refuse, admit_generation
from waxwingwinch.gateway._candidates import engine_options, plain_options
from waxwingwinch.gateway._job import RelayContext
from waxwingwinch.gateway._loads import NO_LOAD, UpstreamLoad
from waxwingwinch.gateway._members import MemberDirectory
from waxwingwinch.gateway._model import (
    CustomerRules,
    RequestKind,
    Route,
    ServiceRules,
    WeightedService,
)
from waxwingwinch.gateway._outcomes import RefusalReason
from waxwingwinch.gateway._placement import (
    PromptSize,
    RunDirectly,
    RunSplit,
    place_plain,
    place_prompt,
)
from waxwingwinch.gateway._requests import Prompt
from waxwingwinch.gateway._routes import RouteTable
from waxwingwinch.gateway._upstreams import RegisteredState, Upstream
from waxwingwinch.gateway.explanation._views import (
    Explanation,
    FactAges,
    TargetView,
    UpstreamView,
)
from waxwingwinch.gateway.homes import allowed_zones

#: Outcome of a request that is passed on to a target.
RELAYED = "relayed"
#: Outcome at a target that has room for the request.
PLACED = "placed"


@frozen
class RequestQuery:
    """
    The request that is asked about.

    :param host: Host name that it is addressed to.
    :param path: Its path.
    :param customer_id: Its customer; None if it has no key.
    :param prompt: Its prompt; None for a plain request.
    """

    host: str
    path: str
    customer_id: CustomerId | None = None
    prompt: Prompt | None = None


class RequestExplainer:
    """
    Explains where requests would go.

    :param context: Dependencies shared by the relays of the process.
    :param members: Directory of all instances.
    """

    def __init__(self, context: RelayContext, members: MemberDirectory) -> None:
        self._context = context
        self._members = members

    def explain(
        self, table: RouteTable | None, query: RequestQuery, now_seconds: float
    ) -> Explanation:
        """
        Explain where a request would go now.

        Limits of upstreams and quotas are not charged, and so not asked.

        :param table: The configuration in force; None before the first.
        :param query: The request.
        :param now_seconds: Monotonic time.
        """
        ages = self._ages(table, now_seconds)
        instance_id = self._members.local_member.instance_id
        if table is None:
            reason = RefusalReason.NO_CONFIGURATION.value
            return Explanation(instance_id, reason, None, None, None, ages)
        route = table.route(query.host, query.path)
        if route is None:
            reason = RefusalReason.NO_ROUTE.value
            return Explanation(instance_id, reason, None, None, None, ages)
        customer = _customer(table, query.customer_id)
        outcome = RELAYED
        if table.needs_keys and not route.is_public and customer is None:
            outcome = RefusalReason.UNKNOWN_KEY.value
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        zones = allowed_zones(route, customer, self._context.zone_regions)
        return Explanation(
            instance_id,
            outcome,
            route.name,
            route.kind.value,
            priority,
            ages,
            tuple(
                self._target(table, route, target, query, zones, now_seconds)
                for target in route.targets
            ),
        )

    def _ages(self, table: RouteTable | None, now_seconds: float) -> FactAges:
        return FactAges(
            table.configuration.version if table is not None else 0,
            self._context.directory.age_seconds(now_seconds),
            len(self._members.ready_others(now_seconds)),
        )

    def _target(
        self,
        table: RouteTable,
        route: Route,
        target: WeightedService,
        query: RequestQuery,
        zones: frozenset[ZoneName] | None,
        now_seconds: float,
    ) -> TargetView:
        service = table.configuration.services.get(target.service)
        if service is None:
            reason = RefusalReason.NO_UPSTREAM.value
            return TargetView(target.service, target.weight, reason)
        views = self._upstreams(service, query, zones, now_seconds)
        prompt = query.prompt or Prompt("", 0, 0)
        is_generation = service.engine is not None and query.prompt is not None
        if route.kind is RequestKind.STREAMING or is_generation:
            return self._generation(route, target, prompt, zones, views, now_seconds)
        usable = [
            upstream
            for upstream in self._context.directory.usable(
                target.service, now_seconds, frozenset(), zones
            )
            if upstream.role is not EngineRole.PREFILL
        ]
        totals = self._context.loads.totals(now_seconds)
        options = plain_options(self._context, usable, totals, now_seconds)
        chosen = place_plain(options, self._context.zone)
        outcome = PLACED if chosen else RefusalReason.NO_UPSTREAM.value
        chosen_ids = (str(chosen),) if chosen else ()
        return TargetView(
            target.service, target.weight, outcome, chosen_ids, None, views
        )

    def _generation(
        self,
        route: Route,
        target: WeightedService,
        prompt: Prompt,
        zones: frozenset[ZoneName] | None,
        views: tuple[UpstreamView, ...],
        now_seconds: float,
    ) -> TargetView:
        options = engine_options(
            self._context, target.service, prompt, frozenset(), zones, now_seconds
        )
        size = PromptSize(
            prompt.input_tokens, prompt.shared_prefix_id, route.target_seconds
        )
        placement = place_prompt(size, options, self._context.zone)
        chosen_ids: tuple[str, ...] = ()
        match placement:
            case None:
                reason = RefusalReason.NO_UPSTREAM.value
                return TargetView(
                    target.service, target.weight, reason, (), None, views
                )
            case RunDirectly(upstream_id):
                chosen_ids = (str(upstream_id),)
            case RunSplit(prefill_id, decode_id):
                chosen_ids = (str(prefill_id), str(decode_id))
        admission = admit_generation(
            placement.expected_seconds,
            placement.own_seconds,
            route.target_seconds,
            route.timeout_seconds,
        )
        is_refused = isinstance(admission, Refuse)
        outcome = RefusalReason.OVERLOADED.value if is_refused else PLACED
        return TargetView(
            target.service,
            target.weight,
            outcome,
            chosen_ids,
            placement.expected_seconds,
            views,
        )

    def _upstreams(
        self,
        service: ServiceRules,
        query: RequestQuery,
        zones: frozenset[ZoneName] | None,
        now_seconds: float,
    ) -> tuple[UpstreamView, ...]:
        context = self._context
        totals = context.loads.totals(now_seconds)
        usable = {
            upstream.upstream_id
            for upstream in context.directory.usable(
                service.name, now_seconds, frozenset(), zones
            )
        }
        return tuple(
            self._view(upstream, query, zones, usable, totals, now_seconds)
            for upstream in context.directory.for_service(service.name)
        )

    def _view(
        self,
        upstream: Upstream,
        query: RequestQuery,
        zones: frozenset[ZoneName] | None,
        usable: set[UpstreamId],
        totals: dict[UpstreamId, UpstreamLoad],
        now_seconds: float,
    ) -> UpstreamView:
        load = totals.get(upstream.upstream_id, NO_LOAD)
        parts = query.prompt.parts if query.prompt is not None else ()
        withheld = None
        if upstream.upstream_id not in usable:
            withheld = self._reason(upstream, zones, now_seconds)
        role = upstream.role
        return UpstreamView(
            str(upstream.upstream_id),
            str(upstream.zone),
            role.value if isinstance(role, EngineRole) else None,
            withheld,
            load.running,
            load.waiting_tokens,
            self._context.prefixes.cached_tokens(upstream.upstream_id, parts),
            self._context.permits.is_cold(upstream),
        )

    def _reason(
        self, upstream: Upstream, zones: frozenset[ZoneName] | None, now_seconds: float
    ) -> str:
        """Return why an upstream gets no request now."""
        directory = self._context.directory
        if directory.evacuated.contains(upstream.zone):
            return "its availability zone is evacuated"
        if zones is not None and upstream.zone not in zones:
            return "outside the home regions"
        if upstream.state is RegisteredState.DRAINING:
            return "it leaves"
        if directory.is_away(upstream, now_seconds):
            return "it wants no request yet"
        if upstream.upstream_id in directory.role_changes(now_seconds):
            return "it changes its role"
        return "ejected after failures"


def _customer(
    table: RouteTable, customer_id: CustomerId | None
) -> CustomerRules | None:
    return next(
        (
            customer
            for customer in table.configuration.customers
            if customer.customer_id == customer_id
        ),
        None,
    )
