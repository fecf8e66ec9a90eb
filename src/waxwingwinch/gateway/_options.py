"""Start options of a gateway process and the interface of its adapter."""

from typing import Protocol

from attrs import field, frozen

from waxwingwinch._types import Address, InstanceId, RegionName, ZoneName
from waxwingwinch.gateway._duty_worker import DutyCalls
from waxwingwinch.gateway._front import RequestDecoder
from waxwingwinch.gateway._model import GatewayConfiguration
from waxwingwinch.gateway._store import PlatformStore
from waxwingwinch.gateway._transport import UpstreamTransport
from waxwingwinch.gateway._upstreams import Upstream
from waxwingwinch.gateway.homes import ResolveQuery


class GatewayAdapter(Protocol):
    """Connects the gateway to the users' platform."""

    @property
    def store(self) -> PlatformStore:
        """The platform's store."""

    @property
    def transport(self) -> UpstreamTransport:
        """The transport that sends calls to upstreams."""

    @property
    def duty_calls(self) -> DutyCalls:
        """The calls of the duty's holder."""

    @property
    def decoder(self) -> RequestDecoder:
        """The decoder of callers' requests."""

    @property
    def configuration_topic(self) -> str:
        """Name of the topic that holds the configuration."""

    @property
    def configuration_key(self) -> str:
        """Key of the configuration in its topic."""

    @property
    def upstreams_topic(self) -> str:
        """Name of the topic in which upstreams register themselves."""

    def decode_configuration(self, payload: bytes) -> GatewayConfiguration:
        """
        Decode a version of the configuration.

        :param payload: As the store holds it.
        :raises MalformedMessage: If the payload is not a configuration.
        """

    def decode_evacuated_zone(self, key: str) -> ZoneName | None:
        """
        Decode a key of the configuration topic that names an evacuated zone.

        :param key: Key of a record.
        :returns: None if the key names no evacuated zone.
        """

    def decode_upstream(
        self, upstream_id: str, payload: bytes, now_seconds: float
    ) -> Upstream:
        """
        Decode an upstream's entry.

        :param upstream_id: Key of the entry.
        :param payload: As the store holds it.
        :param now_seconds: Current monotonic time.
        :raises MalformedMessage: If the entry describes no usable upstream.
        """

    def read_resolve(
        self, path: str, query: dict[str, list[str]]
    ) -> ResolveQuery | None:
        """
        Parse a caller's discovery request.

        :param path: Path of the request.
        :param query: Query parameters of the request.
        :returns: The caller's question; None if the request is not a discovery
            request.
        """

    def encode_resolve(
        self, addresses: tuple[Address, ...], ttl_seconds: float
    ) -> bytes:
        """
        Encode the response to a caller's discovery request.

        :param addresses: Addresses of instances to use.
        :param ttl_seconds: Time for which the caller may use the addresses.
        """


@frozen
class GatewayOptions:
    """
    Start options of a gateway process.

    :param instance_id: Name of the instance.
    :param zone: Availability zone of the instance.
    :param zones: All availability zones.
    :param front_address: Address on which callers connect.
    :param ready_address: Address of the readiness probe.
    :param directory_address: Address of the discovery service for callers.
    :param peer_address: Address on which other instances connect.
    :param metrics_address: Address on which metrics are scraped.
    :param is_first_start: True if no gateway process has run before.
    :param retry_ratio: Retries allowed for each request, as a ratio.
    :param retry_slack: Additional retries allowed in one window.
    :param retry_window_seconds: Window of the retry budget.
    :param quota_slack_units: Tolerated overshoot of a quota.
    :param lease_seconds: Duration of the lease on the duty.
    :param grace_seconds: Time from a stop request until the process must end.
    :param usage_window_seconds: Duration of a usage window.
    :param drain_seconds: Time within which a leaving upstream must stop
        getting new work.
    :param memory_bytes: Memory that the process may use.
    :param descriptors: File descriptors that the process may open.
    :param region: Region of the instance; empty if unknown.
    :param zone_regions: Region of each availability zone.
    :param cold_overshoot: Requests that a cold upstream may get, relative to
        the rate that it can handle.
    :param cold_slack: Additional requests that a cold upstream may get within
        a second.
    :param is_fencing_checked: True if receivers of duty calls and orders
        reject outdated fencing tokens.
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
    drain_seconds: float
    memory_bytes: int
    descriptors: int
    region: RegionName = RegionName("")
    zone_regions: dict[ZoneName, RegionName] = field(factory=dict)
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    is_fencing_checked: bool = True
