"""What a process of the gateway is given at its start."""

from typing import Protocol

from attrs import frozen

from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.gateway._duty_runner import DutyCalls
from waxwingwinch.gateway._front import RequestDecoder
from waxwingwinch.gateway._model import GatewayConfiguration
from waxwingwinch.gateway._store import PlatformStore
from waxwingwinch.gateway._transport import UpstreamTransport
from waxwingwinch.gateway._upstreams import Upstream


class GatewayAdapter(Protocol):
    """What the users' platform brings."""

    @property
    def store(self) -> PlatformStore:
        """The platform's store."""

    @property
    def transport(self) -> UpstreamTransport:
        """Carries calls to upstreams."""

    @property
    def duty_calls(self) -> DutyCalls:
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
    :param drain_seconds: Time after which a leaving upstream gets no new work.
    :param memory_bytes: Memory that the process may use.
    :param descriptors: Descriptors that the process may open.
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
