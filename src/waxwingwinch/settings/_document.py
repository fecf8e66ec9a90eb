"""The file in which operators keep a whole configuration."""

import hashlib
from pathlib import Path

from attrs import asdict, field, frozen

from waxwingwinch._types import CustomerId, ModelName
from waxwingwinch.configuration import (
    SALT_BYTES,
    Configuration,
    Customer,
    Defaults,
    ExceptionRule,
    KeyRecord,
    Model,
    Route,
    RouteAccess,
    Scope,
    digest_access_key,
    validate_configuration,
)
from waxwingwinch.findings import SettingFinding, SettingsInvalid
from waxwingwinch.settings._loader import load_settings
from waxwingwinch.settings._locate import locate_node
from waxwingwinch.settings._nodes import place_of, read_root
from waxwingwinch.settings._validators import distinct, not_blank


@frozen
class KeyDocument:
    """
    A key of a customer: either as it is, or as salt and digest.

    :param key_id: Public name of the key.
    :param key: The key itself; only for tests and demonstrations.
    :param salt: Salt in hexadecimal digits.
    :param digest: SHA-256 of salt and key in hexadecimal digits.
    :param withdrawn: True if the key was withdrawn.
    """

    key_id: str = field(validator=not_blank)
    key: str | None = field(default=None, repr=False)
    salt: bytes | None = None
    digest: bytes | None = None
    withdrawn: bool = False

    def __attrs_post_init__(self) -> None:
        """
        Check that there is one form of the key.

        :raises ValueError: If there is none or two.
        """
        is_hashed = self.salt is not None and self.digest is not None
        is_partly_hashed = self.salt is not None or self.digest is not None
        if (self.key is not None) == is_partly_hashed or is_partly_hashed != is_hashed:
            raise ValueError("give either key, or salt and digest")

    def record(self) -> KeyRecord:
        """Return what the configuration keeps."""
        if self.key is not None:
            # A salt from the name gives the same record each time, so that
            # publishing a file twice changes nothing.
            salt = hashlib.sha256(self.key_id.encode()).digest()[:SALT_BYTES]
            digest = digest_access_key(salt, self.key)
            return KeyRecord(self.key_id, salt, digest, self.withdrawn)
        return KeyRecord(
            self.key_id, self.salt or b"", self.digest or b"", self.withdrawn
        )


@frozen
class CustomerDocument:
    """
    A customer, under its name.

    :param rate_per_second: Requests a second over all instances together.
    :param burst_requests: Requests above the rate at one moment.
    :param weight: Share under overload relative to others.
    :param keys: Its keys.
    """

    rate_per_second: float
    burst_requests: float
    weight: float = 1.0
    keys: tuple[KeyDocument, ...] = field(default=(), validator=distinct("key_id"))


@frozen
class ModelDocument:
    """
    A model, under its name.

    :param version: Version of the weights.
    :param adapters: Adapters that callers may name as ``model:adapter``.
    """

    version: str = "1"
    adapters: tuple[str, ...] = ()


@frozen
class RouteDocument:
    """
    A path of a plain service.

    :param path: Path prefix.
    :param service: Name of the plain service.
    :param methods: Accepted HTTP methods.
    :param idempotent: True if a call may be repeated.
    :param access: ``keyed``, or ``open`` to all.
    :param timeout_seconds: How long a call may take.
    """

    path: str
    service: str
    methods: tuple[str, ...]
    idempotent: bool
    access: RouteAccess = RouteAccess.KEYED
    timeout_seconds: float = 10.0


@frozen
class ExceptionDocument:
    """
    An override of one default, under its name.

    :param scope: Where it applies.
    :param setting: Name of a default.
    :param value: The value there.
    :param reason: Why.
    """

    scope: Scope
    setting: str
    value: float
    reason: str


@frozen
class ConfigurationDocument:
    """
    A whole configuration as operators write it.

    :param defaults: Fleet-wide settings; those left out keep their usual
        values.
    :param customers: By name.
    :param models: By name.
    :param routes: Routes of plain services.
    :param exceptions: By name.
    """

    defaults: Defaults = Defaults()
    customers: dict[str, CustomerDocument] = field(factory=dict)
    models: dict[str, ModelDocument] = field(factory=dict)
    routes: tuple[RouteDocument, ...] = ()
    exceptions: dict[str, ExceptionDocument] = field(factory=dict)

    def configuration(self) -> Configuration:
        """Return the content as the system keeps it, at version 0."""
        return Configuration(
            defaults=self.defaults,
            customers={
                CustomerId(name): _customer(CustomerId(name), customer)
                for name, customer in self.customers.items()
            },
            models={
                ModelName(name): Model(ModelName(name), model.version, model.adapters)
                for name, model in self.models.items()
            },
            routes=tuple(
                Route(**asdict(route, recurse=False)) for route in self.routes
            ),
            exceptions={
                name: ExceptionRule(exception_id=name, **asdict(rule, recurse=False))
                for name, rule in self.exceptions.items()
            },
        )


def load_configuration(path: Path) -> Configuration:
    """
    Read an operators' file and check it as a whole.

    :param path: The file.
    :raises SettingsInvalid: With everything that is wrong.
    """
    configuration = load_settings(path, ConfigurationDocument).configuration()
    findings = validate_configuration(configuration)
    if findings:
        root = read_root(path)
        placed = []
        for finding in findings:
            place = place_of(locate_node(root, finding.place))
            placed.append(
                SettingFinding(
                    path,
                    place.line,
                    place.column,
                    finding.place,
                    finding.problem,
                    finding.suggestion,
                )
            )
        raise SettingsInvalid(f"{path} is not valid", placed)
    return configuration


def _customer(name: CustomerId, document: CustomerDocument) -> Customer:
    return Customer(
        name,
        document.rate_per_second,
        document.burst_requests,
        document.weight,
        tuple(key.record() for key in document.keys),
    )
