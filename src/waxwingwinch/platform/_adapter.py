"""What the gateway needs of the platform, in one object."""

from attrs import frozen

from waxwingwinch._types import Address, ZoneName
from waxwingwinch.gateway import (
    GatewayConfiguration,
    Upstream,
)
from waxwingwinch.kernel import Clock
from waxwingwinch.platform._configuration import decode_configuration
from waxwingwinch.platform._requests import PlatformRequestDecoder
from waxwingwinch.platform._settings import InstanceSettings
from waxwingwinch.platform._steward_calls import PlatformStewardCalls
from waxwingwinch.platform._store import PlatformStoreClient, encode_json
from waxwingwinch.platform._transport import PlatformTransport
from waxwingwinch.platform._upstreams import decode_upstream

#: Path of callers' questions which addresses to use.
RESOLVE_PATH = "/v1/resolve"


@frozen
class PlatformAdapter:
    """
    The platform's side of the gateway.

    :param store: The platform's store.
    :param transport: Carries calls to upstreams.
    :param duty_calls: The calls of the duty's holder.
    :param decoder: Interprets callers' requests.
    """

    store: PlatformStoreClient
    transport: PlatformTransport
    duty_calls: PlatformStewardCalls
    decoder: PlatformRequestDecoder
    configuration_topic: str = "op"
    configuration_key: str = "config"
    upstreams_topic: str = "servers"

    @classmethod
    def from_settings(
        cls, settings: InstanceSettings, clock: Clock
    ) -> "PlatformAdapter":
        """
        Build the adapter of an instance.

        :param settings: Its settings.
        :param clock: Source of the present time.
        """
        return cls(
            PlatformStoreClient(settings.store_address),
            PlatformTransport(clock),
            PlatformStewardCalls(settings.orders_address, settings.options.instance_id),
            PlatformRequestDecoder(),
        )

    def update(self, settings: InstanceSettings) -> None:
        """
        Follow changed addresses of the platform.

        :param settings: The new settings.
        """
        self.store.address = settings.store_address
        self.duty_calls.address = settings.orders_address

    def decode_configuration(self, payload: bytes) -> GatewayConfiguration:
        """
        Decode a version of the configuration.

        :param payload: As the store holds it.
        :raises MalformedMessage: If it is not a configuration.
        """
        return decode_configuration(payload)

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
        return decode_upstream(upstream_id, payload, now_seconds)

    def read_resolve(self, path: str, query: dict[str, list[str]]) -> ZoneName | None:
        """
        Read a caller's question which addresses to use.

        :param path: Path of the question.
        :param query: Its query.
        :returns: The caller's availability zone; None if it is no question.
        """
        if path != RESOLVE_PATH:
            return None
        return ZoneName(query.get("zone", [""])[0])

    def encode_resolve(
        self, addresses: tuple[Address, ...], life_seconds: float
    ) -> bytes:
        """
        Encode the answer to a caller's question.

        :param addresses: The addresses.
        :param life_seconds: How long they may be used.
        """
        return encode_json(
            {"addresses": [str(one) for one in addresses], "ttlS": life_seconds}
        )
