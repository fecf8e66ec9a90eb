"""The settings files of a deployment's processes."""

import pathlib

from attrs import evolve, frozen
from ruamel.yaml import YAML

from waxwing_testbed import free_addresses
from waxwing_testbed.deployment._plan import DeploymentPlan
from waxwing_testbed.standins import (
    EngineSettings,
    PlainSettings,
    PlatformSettings,
    ProxySettings,
    StandinSettings,
    WeightStoreSettings,
    make_settings_converter,
)
from waxwingwinch._types import Address, InstanceId, UpstreamId, ZoneName
from waxwingwinch.interfaces import ListedInstance

#: Secret between the processes of a test deployment.
SHARED_SECRET = "secret-of-the-test-deployment"
#: Token of the test operator.
OPERATOR_TOKEN = "token-of-the-test-operator"


@frozen
class InstancePlaces:
    """
    Where the two processes of an instance serve.

    Peers and the process itself reach it through proxies.

    :param instance_id: Name of the instance.
    :param zone: Its availability zone.
    :param entry: Entry's address for callers.
    :param peer: Entry's address for peers.
    :param peer_proxy: Proxy in front of ``peer``, which is the listed one.
    :param control: Control's address for peers.
    :param control_proxy: Proxy in front of ``control``, the listed one.
    :param platform_proxy: Proxy between the instance and the platform.
    """

    instance_id: InstanceId
    zone: ZoneName
    entry: Address
    peer: Address
    peer_proxy: Address
    control: Address
    control_proxy: Address
    platform_proxy: Address

    def listed(self) -> ListedInstance:
        """Return the row of the platform's list."""
        return ListedInstance(
            self.instance_id,
            self.zone,
            self.entry,
            self.peer_proxy,
            self.control_proxy,
        )


@frozen
class DeploymentPlaces:
    """
    All addresses of a deployment.

    :param admin: Admin address of the stand-ins.
    :param platform: The platform without proxy.
    :param instances: The instances.
    """

    admin: Address
    platform: Address
    instances: tuple[InstancePlaces, ...]


def allocate_places(plan: DeploymentPlan) -> DeploymentPlaces:
    """
    Choose free addresses.

    :param plan: The sizes.
    """
    addresses = iter(free_addresses(2 + 6 * plan.instances))
    admin, platform = next(addresses), next(addresses)
    instances = tuple(
        InstancePlaces(
            InstanceId(f"i{number + 1}"),
            plan.zones[number % len(plan.zones)],
            *(next(addresses) for _ in range(6)),
        )
        for number in range(plan.instances)
    )
    return DeploymentPlaces(admin, platform, instances)


def write_standin_settings(
    plan: DeploymentPlan, places: DeploymentPlaces, path: pathlib.Path
) -> StandinSettings:
    """
    Write the settings file of the stand-ins.

    :param path: The file.
    :returns: What was written.
    """
    settings = StandinSettings(
        admin_address=places.admin,
        engines=_engines(plan),
        plain_services=_plain_services(plan),
        platform=_platform(plan, places),
        proxies=tuple(
            proxy
            for instance in places.instances
            for proxy in _proxies(instance, places)
        ),
    )
    _write_yaml(make_settings_converter().unstructure(settings), path)
    return settings


def write_instance_settings(
    plan: DeploymentPlan,
    places: DeploymentPlaces,
    instance: InstancePlaces,
    folder: pathlib.Path,
) -> tuple[pathlib.Path, pathlib.Path]:
    """
    Write the settings files of an instance.

    :param folder: Where to write them.
    :returns: The files of the entry and of the control.
    """
    common: dict[str, object] = {
        "instance_id": str(instance.instance_id),
        "zone": str(instance.zone),
        "cell": plan.name,
        "expected_instances": plan.instances,
        "shared_secrets": [SHARED_SECRET],
        "platform_address": str(instance.platform_proxy),
        "peer_seeds": [str(other.peer_proxy) for other in places.instances],
    }
    entry = common | {
        "listen_address": str(instance.entry),
        "peer_address": str(instance.peer),
        "control_address": str(instance.control),
        "operator_tokens": [{"name": "tester", "token": OPERATOR_TOKEN}],
        **plan.entry_settings,
    }
    control = common | {
        "peer_address": str(instance.control),
        "entry_peer_address": str(instance.peer),
        "lease_seconds": plan.lease_seconds,
        **plan.control_settings,
    }
    entry_path = folder / f"{instance.instance_id}-entry.yaml"
    control_path = folder / f"{instance.instance_id}-control.yaml"
    _write_yaml(entry, entry_path)
    _write_yaml(control, control_path)
    return entry_path, control_path


def _engines(plan: DeploymentPlan) -> tuple[EngineSettings, ...]:
    groups = [group for group in plan.engines for _ in range(group.count)]
    addresses = free_addresses(len(groups))
    return tuple(
        EngineSettings(
            name=UpstreamId(f"engine-{number + 1}"),
            address=addresses[number],
            zone=plan.zones[number % len(plan.zones)],
            model=group.model,
            role=group.role,
            adapters=group.adapters,
            price_class=group.price_class,
            checks_fencing=group.checks_fencing,
            crash_word=plan.crash_word,
            seed=number,
            speeds=plan.speeds,
            limits=plan.limits,
            lags=plan.lags,
        )
        for number, group in enumerate(groups)
    )


def _plain_services(plan: DeploymentPlan) -> tuple[PlainSettings, ...]:
    groups = [group for group in plan.plain for _ in range(group.count)]
    addresses = free_addresses(len(groups))
    return tuple(
        PlainSettings(
            name=UpstreamId(f"{group.service}-{number + 1}"),
            address=addresses[number],
            zone=plan.zones[number % len(plan.zones)],
            service=group.service,
            answer_delay_seconds=group.answer_delay_seconds,
            seed=number,
        )
        for number, group in enumerate(groups)
    )


def _platform(plan: DeploymentPlan, places: DeploymentPlaces) -> PlatformSettings:
    spares = tuple(free_addresses(plan.spare_engines))
    template = EngineSettings(
        name=UpstreamId("template"),
        address=places.platform,
        zone=plan.zones[0],
        crash_word=plan.crash_word,
        speeds=plan.speeds,
        limits=plan.limits,
        lags=plan.lags,
    )
    return PlatformSettings(
        address=places.platform,
        instances=tuple(instance.listed() for instance in places.instances),
        instance_list_lag_seconds=plan.instance_list_lag_seconds,
        log=plan.log,
        market=evolve(plan.market, spares=spares, template=template),
        weight_store=WeightStoreSettings(load_seconds=plan.weight_load_seconds),
    )


def _proxies(
    instance: InstancePlaces, places: DeploymentPlaces
) -> tuple[ProxySettings, ...]:
    name = instance.instance_id
    return (
        ProxySettings(f"peer-{name}", instance.peer_proxy, instance.peer),
        ProxySettings(f"control-{name}", instance.control_proxy, instance.control),
        ProxySettings(f"platform-{name}", instance.platform_proxy, places.platform),
    )


def _write_yaml(value: object, path: pathlib.Path) -> None:
    with path.open("w") as stream:
        YAML(typ="safe").dump(value, stream)
