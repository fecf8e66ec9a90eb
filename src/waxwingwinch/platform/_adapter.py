"""The gateway's interface to the platform: store, transport and formats."""

from attrs import frozen

from waxwingwinch._types import Address, RegionName, ZoneName
from waxwingwinch.gateway import (
    GatewayConfiguration,
    ResolveQuery,
    Upstream,
)
from waxwingwinch.kernel import Clock
from waxwingwinch.platform._configuration import decode_configuration
from waxwingwinch.platform._duty_calls import PlatformDutyCalls
from waxwingwinch.platform._requests import PlatformRequestDecoder
from waxwingwinch.platform._settings import InstanceSettings
from waxwingwinch.platform._store import PlatformStoreClient, encode_json
from waxwingwinch.platform._transport import PlatformTransport
from waxwingwinch.platform._upstreams import decode_upstream

#: Start of the keys under which operators request evacuations.
EVACUATION_KEY_PREFIX = "evacuate/"
#: Path at which callers ask for the addresses of gateway instances.
RESOLVE_PATH = "/v1/resolve"


@frozen
class PlatformAdapter:
    """
    Gives the gateway access to the platform.

    :param store: Client of the platform's store.
    :param transport: Sends calls to upstreams.
    :param duty_calls: Calls that only the duty holder makes.
    :param decoder: Decodes callers' requests.
    :param configuration_topic: Keyed topic of the configuration.
    :param configuration_key: Key of the configuration in that topic.
    :param upstreams_topic: Keyed topic of the upstreams' registration
        records.
    """

    store: PlatformStoreClient
    transport: PlatformTransport
    duty_calls: PlatformDutyCalls
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

        :param settings: The instance's settings.
        :param clock: Source of the present time.
        """
        return cls(
            PlatformStoreClient(settings.store_address),
            PlatformTransport(clock),
            PlatformDutyCalls(
                settings.orders_address, settings.options.instance_id, clock
            ),
            PlatformRequestDecoder(),
        )

    def update(self, settings: InstanceSettings) -> None:
        """
        Use the platform addresses of reloaded settings.

        :param settings: The new settings.
        """
        self.store.address = settings.store_address
        self.duty_calls.address = settings.orders_address

    def decode_configuration(self, payload: bytes) -> GatewayConfiguration:
        """
        Decode a version of the configuration.

        :param payload: The value stored under the configuration key.
        :raises MalformedMessage: If the payload is not a valid configuration.
        """
        return decode_configuration(payload)

    @staticmethod
    def decode_evacuated_zone(key: str) -> ZoneName | None:
        """
        Decode a key of the configuration topic that names an evacuated zone.

        :param key: Key of a record.
        :returns: None if the key names no evacuated zone.
        """
        zone = key.removeprefix(EVACUATION_KEY_PREFIX)
        return ZoneName(zone) if zone and zone != key else None

    def decode_upstream(
        self, upstream_id: str, payload: bytes, now_seconds: float
    ) -> Upstream:
        """
        Decode the registration record of an upstream.

        :param upstream_id: Key of the record.
        :param payload: The value stored under that key.
        :param now_seconds: Monotonic time.
        :raises MalformedMessage: If the payload is not a valid record.
        """
        return decode_upstream(upstream_id, payload, now_seconds)

    def read_resolve(
        self, path: str, query: dict[str, list[str]]
    ) -> ResolveQuery | None:
        """
        Parse a caller's request for the addresses of gateway instances.

        :param path: Path of the request.
        :param query: Query parameters of the request.
        :returns: The caller's question; None if the path is not
            ``RESOLVE_PATH``.
        """
        if path != RESOLVE_PATH:
            return None
        return ResolveQuery(
            host=query.get("name", [""])[0],
            region=RegionName(query.get("region", [""])[0]),
            zone=ZoneName(query.get("zone", [""])[0]),
        )

    def encode_resolve(
        self, addresses: tuple[Address, ...], ttl_seconds: float
    ) -> bytes:
        """
        Encode the response to a request for addresses.

        :param addresses: Addresses of gateway instances.
        :param ttl_seconds: Time for which the caller may use the addresses.
        """
        return encode_json(
            {"addresses": [str(address) for address in addresses], "ttlS": ttl_seconds}
        )
