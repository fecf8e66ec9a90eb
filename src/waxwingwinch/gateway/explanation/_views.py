"""What an explanation of a request consists of."""

from attrs import frozen


@frozen
class FactAges:
    """
    How old the facts are that a choice rests on.

    :param configuration_version: Version of the configuration in force.
    :param entries_seconds: Time since the entries of upstreams were read; None
        if they never were.
    :param instances_heard: Other instances whose loads are known.
    """

    configuration_version: int
    entries_seconds: float | None
    instances_heard: int


@frozen
class UpstreamView:
    """
    What is known of one upstream of a service.

    :param upstream_id: The upstream.
    :param zone: Its availability zone.
    :param role: Role of an engine; None for a plain upstream.
    :param withheld: Why it gets no request now; None if it may get one.
    :param running: Requests in progress there.
    :param waiting_tokens: Prefill work not done yet, as tokens without
        attention.
    :param cached_tokens: Leading tokens of the prompt that it has cached.
    :param is_cold: True while it is cold and gets few requests.
    """

    upstream_id: str
    zone: str
    role: str | None
    withheld: str | None
    running: int
    waiting_tokens: int
    cached_tokens: int
    is_cold: bool


@frozen
class TargetView:
    """
    What happens to a request at one target of its route.

    :param service: The service.
    :param weight: Share of the route's requests relative to other targets.
    :param outcome: ``placed`` or the reason of the refusal.
    :param upstream_ids: The chosen upstreams: one, or the engines that prefill
        and decode.
    :param expected_seconds: Estimated time to the first event; None for plain
        services.
    :param upstreams: All known upstreams of the service.
    """

    service: str
    weight: float
    outcome: str
    upstream_ids: tuple[str, ...] = ()
    expected_seconds: float | None = None
    upstreams: tuple[UpstreamView, ...] = ()


@frozen
class Explanation:
    """
    Where a request would go now.

    :param instance_id: The instance that answers.
    :param outcome: ``relayed`` or the reason of the refusal.
    :param route: Name of the route; None if none matches.
    :param kind: What may be repeated of its requests; None without a route.
    :param priority: Priority of the request; None without a route.
    :param ages: How old the facts are.
    :param targets: The targets of the route.
    """

    instance_id: str
    outcome: str
    route: str | None
    kind: str | None
    priority: int | None
    ages: FactAges
    targets: tuple[TargetView, ...] = ()
