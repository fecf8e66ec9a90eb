"""The platform's settings file: lines of the form ``a.b=value``."""

import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TypeVar

from attrs import field, frozen

from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.findings import SettingFinding, SettingsInvalid
from waxwingwinch.gateway import GatewayOptions

#: Variable that names the settings file.
SETTINGS_VARIABLE = "WAXWINGWINCH_CONFIG"
#: Memory of an instance whose settings name none; the smallest known.
DEFAULT_MEMORY_MB = 160.0
#: The same for descriptors.
DEFAULT_DESCRIPTORS = 4_100.0
#: Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200

BYTES_PER_MB = 1_048_576

T = TypeVar("T")


@frozen
class InstanceSettings:
    """
    What a process learns from its settings file.

    :param options: What the gateway is told at its start.
    :param store_address: The platform's store.
    :param orders_address: Where upstreams are ordered and usage is reported;
        None if the platform has no such interface.
    """

    options: GatewayOptions
    store_address: Address
    orders_address: Address | None


@frozen
class _Line:
    """
    A setting and where it stands.

    :param number: Line of the file, from 1.
    :param value: The text after the equals sign.
    """

    number: int
    value: str


@frozen
class _Reader:
    """
    Reads typed values and collects findings.

    :param file: Name of the file, for findings.
    :param lines: Settings by name.
    :param findings: What is wrong.
    """

    file: Path
    lines: Mapping[str, _Line]
    findings: list[SettingFinding] = field(factory=list)

    def get(self, name: str, parse: Callable[[str], T], default: T) -> T:
        """
        Return an optional setting.

        :param name: Its name.
        :param parse: Reads its text.
        :param default: Returned if it is absent, or malformed.
        """
        line = self.lines.get(name)
        if line is None:
            return default
        try:
            return parse(line.value)
        except ValueError as error:
            self._find(line.number, name, str(error))
            return default

    def need(self, name: str, parse: Callable[[str], T], placeholder: T) -> T:
        """
        Return a setting that must be present.

        :param name: Its name.
        :param parse: Reads its text.
        :param placeholder: Stands in so that reading goes on.
        """
        if name not in self.lines:
            self._find(1, name, "the setting is missing")
            return placeholder
        return self.get(name, parse, placeholder)

    def _find(self, line: int, name: str, problem: str) -> None:
        self.findings.append(SettingFinding(self.file, line, 1, name, problem))


def load_instance_settings(path: Path) -> InstanceSettings:
    """
    Read the settings file.

    :param path: The file.
    :raises SettingsInvalid: With all findings.
    """
    return parse_instance_settings(path.read_text(), path)


def settings_path() -> Path:
    """
    Return the path of the settings file.

    :raises KeyError: If the environment does not name it.
    """
    return Path(os.environ[SETTINGS_VARIABLE])


def parse_instance_settings(text: str, file: Path) -> InstanceSettings:
    """
    Read the text of a settings file; unknown settings are ignored.

    :param text: The text.
    :param file: Its name, for findings.
    :raises SettingsInvalid: With all findings.
    """
    lines, malformed = _lines(text, file)
    reader = _Reader(file, lines, malformed)
    settings = _read(reader)
    if reader.findings:
        raise SettingsInvalid(f"{file} is invalid", reader.findings)
    return settings


def _lines(text: str, file: Path) -> tuple[dict[str, _Line], list[SettingFinding]]:
    lines: dict[str, _Line] = {}
    findings: list[SettingFinding] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        name, separator, value = line.partition("=")
        if not separator:
            findings.append(
                SettingFinding(file, number, 1, "", "the line has no equals sign")
            )
            continue
        lines[name.strip()] = _Line(number, value.strip())
    return lines, findings


def _read(reader: _Reader) -> InstanceSettings:
    nowhere = Address("127.0.0.1", 1)
    ip = reader.need("ip", _text, "127.0.0.1")
    ports = reader.need("portRange", _port_range, (1, 2))
    zone = ZoneName(reader.need("zone", _text, "zone"))
    zones = tuple(
        ZoneName(name.removeprefix("zones."))
        for name in reader.lines
        if name.startswith("zones.")
    )
    options = GatewayOptions(
        instance_id=InstanceId(reader.need("nodeName", _text, "node")),
        zone=zone,
        zones=zones or (zone,),
        front_address=reader.need("listen.front", Address.parse, nowhere),
        ready_address=reader.need("listen.readyAddr", Address.parse, nowhere),
        directory_address=reader.need("listen.directoryAddr", Address.parse, nowhere),
        peer_address=Address(ip, ports[0]),
        metrics_address=Address(ip, ports[1]),
        is_first_start=reader.get("firstStart", _flag, False),
        retry_ratio=reader.get("bounds.retryRatio", _positive, 0.2),
        retry_slack=reader.get("bounds.retrySlack", _positive, 10.0),
        retry_window_seconds=reader.get("bounds.retryWindowS", _positive, 10.0),
        quota_slack_units=reader.get("bounds.quotaSlack", _positive, 0.0),
        lease_seconds=reader.get("bounds.leaseMs", _positive, 3_000.0) / 1_000,
        grace_seconds=reader.get("bounds.graceS", _positive, 8.0),
        usage_window_seconds=reader.get("bounds.usageWindowS", _positive, 5.0),
        drain_seconds=reader.get("bounds.drainMs", _positive, 2_000.0) / 1_000,
        memory_bytes=int(
            reader.get("limits.memoryMb", _positive, DEFAULT_MEMORY_MB) * BYTES_PER_MB
        ),
        descriptors=int(
            reader.get("limits.maxFds", _positive, DEFAULT_DESCRIPTORS)
            - FILE_DESCRIPTORS
        ),
    )
    return InstanceSettings(
        options,
        reader.need("platform.address", Address.parse, nowhere),
        reader.get("cloud.address", _optional_address, None),
    )


def _text(value: str) -> str:
    if not value:
        raise ValueError("the value is empty")
    return value


def _positive(value: str) -> float:
    number = float(value)
    if not 0 <= number < float("inf"):
        raise ValueError(f"{value!r} is not a positive number")
    return number


def _flag(value: str) -> bool:
    if value not in ("true", "false"):
        raise ValueError(f"{value!r} is neither true nor false")
    return value == "true"


def _optional_address(value: str) -> Address | None:
    return Address.parse(value) if value else None


def _port_range(value: str) -> tuple[int, int]:
    first, separator, last = value.partition(",")
    if not separator or int(last) <= int(first):
        raise ValueError(f"{value!r} is not a range of ports")
    return int(first), int(last)
