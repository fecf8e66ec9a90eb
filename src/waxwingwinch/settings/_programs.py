"""Settings of the programs that run on each instance."""

from pathlib import Path

from attrs import field, frozen
from attrs.validators import and_, ge, gt, lt, min_len

from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.settings._policies import (
    BuyingPolicyKind,
    LimitsPolicyKind,
    RolePolicyKind,
    RoutingPolicyKind,
)
from waxwingwinch.settings._validators import distinct, ip_address, not_blank


@frozen(kw_only=True)
class CommonSettings:
    """
    Settings that both programs of an instance share.

    :param instance_id: Name of this start of the instance; a replacement
        takes a new one.
    :param zone: Availability zone of the instance.
    :param cell: Name of the group of instances that share a fleet.
    :param expected_instances: How many instances the cell has, this one
        included. More than half of them are a majority.
    :param shared_secrets: Secrets that the system's processes know each
        other by. The first signs; the others are accepted while the secret
        is rotated.
    :param shared_secrets_file: A file with one secret a line, instead of
        ``shared_secrets``.
    :param peer_address: Where this process serves peers.
    :param platform_address: Where the platform's interfaces are.
    :param peer_seeds: Peer addresses of other entries, used while the
        platform's instance list can't be read.
    """

    instance_id: InstanceId = field(validator=not_blank)
    zone: ZoneName = field(validator=not_blank)
    cell: str = field(validator=not_blank)
    expected_instances: int = field(validator=ge(1))
    shared_secrets: tuple[str, ...] = field(default=(), repr=False)
    shared_secrets_file: Path | None = None
    peer_address: Address = field(validator=ip_address)
    platform_address: Address = field(validator=ip_address)
    peer_seeds: tuple[Address, ...] = ()

    def __attrs_post_init__(self) -> None:
        """
        Check that there is one source of secrets.

        :raises ValueError: If there is none or two.
        """
        if bool(self.shared_secrets) == (self.shared_secrets_file is not None):
            raise ValueError("give either shared_secrets or shared_secrets_file")

    def secrets(self) -> tuple[str, ...]:
        """
        Return the shared secrets, the signing one first.

        :raises ValueError: If the file holds none.
        :raises OSError: If the file can't be read.
        """
        if self.shared_secrets_file is None:
            return self.shared_secrets
        lines = self.shared_secrets_file.read_text(encoding="utf-8").splitlines()
        found = tuple(line.strip() for line in lines if line.strip())
        if not found:
            raise ValueError(f"{self.shared_secrets_file} holds no secret")
        return found


@frozen
class OperatorToken:
    """
    A token that lets an operator in.

    :param name: The operator, as the history of the configuration shows it.
    :param token: The token, sent as ``Authorization: Bearer``.
    """

    name: str = field(validator=not_blank)
    token: str = field(validator=min_len(8), repr=False)


@frozen(kw_only=True)
class EntrySettings(CommonSettings):
    """
    Settings of ``waxwing-entry``.

    :param listen_address: Where callers and operators are served.
    :param control_address: Where the control process beside serves peers.
    :param operator_tokens: Who may use ``/operator``.
    :param max_connections: Most connections of callers at one time, each
        with a thread.
    :param stop_timeout_seconds: How long a planned stop waits for streams.
    :param drift_ratio: Bound on the difference between the clock rates of
        two instances.
    :param routing_policy: How the engine of a generation is chosen; the
        others are baselines for measurements.
    :param limits_policy: How the instances share the rate of a customer;
        ``static_split`` is a baseline for measurements.
    """

    listen_address: Address = field(validator=ip_address)
    control_address: Address = field(validator=ip_address)
    operator_tokens: tuple[OperatorToken, ...] = field(
        default=(), validator=distinct("name")
    )
    max_connections: int = field(default=512, validator=ge(1))
    stop_timeout_seconds: float = field(default=600.0, validator=gt(0.0))
    drift_ratio: float = field(default=0.01, validator=and_(ge(0.0), lt(1.0)))
    routing_policy: RoutingPolicyKind = RoutingPolicyKind.EARLIEST_FIRST_TOKEN
    limits_policy: LimitsPolicyKind = LimitsPolicyKind.SHARED


@frozen(kw_only=True)
class ControlSettings(CommonSettings):
    """
    Settings of ``waxwing-control``.

    :param entry_peer_address: Where the entry process beside serves peers.
    :param lease_seconds: Length of the lease on a duty.
    :param drift_ratio: Bound on the difference between the clock rates of
        two instances.
    :param role_policy: Whether engines change their role; ``static`` is a
        baseline for measurements.
    :param buying_policy: Whether engines are ordered and given back;
        ``fixed`` is a baseline for measurements.
    """

    entry_peer_address: Address = field(validator=ip_address)
    lease_seconds: float = field(default=4.0, validator=ge(0.5))
    drift_ratio: float = field(default=0.01, validator=and_(ge(0.0), lt(1.0)))
    role_policy: RolePolicyKind = RolePolicyKind.PLANNED
    buying_policy: BuyingPolicyKind = BuyingPolicyKind.PLANNED
