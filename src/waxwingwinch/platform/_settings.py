"""The platform's settings file: lines of the form ``a.b=value``."""

import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TypeVar

from attrs import field, frozen

from waxwingwinch._types import (
    Address,
    InstanceId,
    RegionName,
    ZoneName,
    parse_port,
)
from waxwingwinch.findings import SettingFinding, SettingsInvalid
from waxwingwinch.gateway import GatewayOptions

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "WAXWINGWINCH_CONFIG"
#: Memory limit if the settings have none: the smallest limit known among the
#: platform's instances.
DEFAULT_MEMORY_MB = 160.0
#: Limit of open file descriptors if the settings have none: likewise the
#: smallest known.
DEFAULT_MAX_FILE_DESCRIPTORS = 4_100.0
#: Part of the limit of open file descriptors that is kept free for files; the
#: gateway may open the rest.
RESERVED_FILE_DESCRIPTORS = 200

BYTES_PER_MB = 1_048_576
#: Maximum of any number in the settings.
MAX_NUMBER = 1e12

T = TypeVar("T")


@frozen
class InstanceSettings:
    """
    Contents of the settings file of an instance.

    :param options: Options of the gateway.
    :param store_address: Address of the platform's store.
    :param orders_address: Address for ordering upstreams and reporting usage;
        None if the platform has no such interface.
    """

    options: GatewayOptions
    store_address: Address
    orders_address: Address | None


@frozen
class _SettingLine:
    """
    The value of a setting and its line in the file.

    :param number: Line number, counted from 1.
    :param value: The text after the equals sign.
    """

    number: int
    value: str


@frozen
class _SettingsReader:
    """
    Parses setting values and collects findings.

    :param file: Path of the file, for findings.
    :param lines: Settings by name.
    :param findings: Problems found so far.
    """

    file: Path
    lines: Mapping[str, _SettingLine]
    findings: list[SettingFinding] = field(factory=list)

    def get(self, name: str, parse: Callable[[str], T], default: T) -> T:
        """
        Return the value of an optional setting.

        :param name: Name of the setting.
        :param parse: Converts the text; raises ValueError if it is malformed.
        :param default: Returned if the setting is absent or malformed.
        """
        line = self.lines.get(name)
        if line is None:
            return default
        try:
            return parse(line.value)
        except ValueError as error:
            self._add_finding(line.number, name, str(error))
            return default

    def require(self, name: str, parse: Callable[[str], T], placeholder: T) -> T:
        """
        Return the value of a required setting.

        :param name: Name of the setting.
        :param parse: Converts the text; raises ValueError if it is malformed.
        :param placeholder: Returned if the setting is absent or malformed, so
            that parsing continues and collects all findings.
        """
        if name not in self.lines:
            self._add_finding(1, name, "the required setting is missing")
            return placeholder
        return self.get(name, parse, placeholder)

    def _add_finding(self, line: int, name: str, problem: str) -> None:
        self.findings.append(SettingFinding(self.file, line, 1, name, problem))


def load_instance_settings(path: Path) -> InstanceSettings:
    """
    Read and parse the settings file.

    :param path: The settings file.
    :raises SettingsInvalid: With all findings, if the file is invalid.
    """
    return parse_instance_settings(path.read_text(), path)


def settings_path() -> Path:
    """
    Return the path of the settings file.

    :raises KeyError: If ``WAXWINGWINCH_CONFIG`` is not set.
    """
    return Path(os.environ[SETTINGS_VARIABLE])


def parse_instance_settings(text: str, file: Path) -> InstanceSettings:
    """
    Parse the text of a settings file; unknown settings are ignored.

    :param text: Contents of the file.
    :param file: Path of the file, for findings.
    :raises SettingsInvalid: With all findings, if the file is invalid.
    """
    lines, malformed = _split_lines(text, file)
    reader = _SettingsReader(file, lines, malformed)
    settings = _read_settings(reader)
    if reader.findings:
        raise SettingsInvalid(f"{file} is invalid", reader.findings)
    return settings


def _split_lines(
    text: str, file: Path
) -> tuple[dict[str, _SettingLine], list[SettingFinding]]:
    lines: dict[str, _SettingLine] = {}
    findings: list[SettingFinding] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        name, separator, value = line.partition("=")
        if not separator:
            findings.append(
                SettingFinding(
                    file,
                    number,
                    1,
                    "",
                    "expected NAME=VALUE, the line has no equals sign",
                )
            )
            continue
        lines[name.strip()] = _SettingLine(number, value.strip())
    return lines, findings


def _read_settings(reader: _SettingsReader) -> InstanceSettings:
    placeholder_address = Address("127.0.0.1", 1)
    ip = reader.require("ip", _parse_text, "127.0.0.1")
    ports = reader.require("portRange", _parse_port_range, (1, 2))
    zone = ZoneName(reader.require("zone", _parse_text, "zone"))
    zone_regions = {
        ZoneName(name.removeprefix("zones.")): RegionName(line.value)
        for name, line in reader.lines.items()
        if name.startswith("zones.")
    }
    zones = tuple(zone_regions)
    options = GatewayOptions(
        instance_id=InstanceId(reader.require("nodeName", _parse_text, "node")),
        zone=zone,
        zones=zones or (zone,),
        front_address=reader.require(
            "listen.front", Address.parse, placeholder_address
        ),
        ready_address=reader.require(
            "listen.readyAddr", Address.parse, placeholder_address
        ),
        directory_address=reader.require(
            "listen.directoryAddr", Address.parse, placeholder_address
        ),
        peer_address=Address(ip, ports[0]),
        metrics_address=Address(ip, ports[1]),
        is_first_start=reader.get("firstStart", _parse_boolean, False),
        retry_ratio=reader.get("bounds.retryRatio", _parse_non_negative, 0.2),
        retry_slack=reader.get("bounds.retrySlack", _parse_non_negative, 10.0),
        retry_window_seconds=reader.get(
            "bounds.retryWindowS", _parse_non_negative, 10.0
        ),
        quota_slack_units=reader.get("bounds.quotaSlack", _parse_non_negative, 0.0),
        lease_seconds=reader.get("bounds.leaseMs", _parse_non_negative, 3_000.0)
        / 1_000,
        grace_seconds=reader.get("bounds.graceS", _parse_non_negative, 8.0),
        usage_window_seconds=reader.get(
            "bounds.usageWindowS", _parse_non_negative, 5.0
        ),
        drain_seconds=reader.get("bounds.drainMs", _parse_non_negative, 2_000.0)
        / 1_000,
        memory_bytes=int(
            reader.get("limits.memoryMb", _parse_non_negative, DEFAULT_MEMORY_MB)
            * BYTES_PER_MB
        ),
        descriptors=int(
            reader.get(
                "limits.maxFds", _parse_non_negative, DEFAULT_MAX_FILE_DESCRIPTORS
            )
            - RESERVED_FILE_DESCRIPTORS
        ),
        region=RegionName(reader.get("region", str, "")),
        zone_regions=zone_regions,
        cold_overshoot=reader.get("bounds.coldOvershoot", _parse_non_negative, 1.0),
        cold_slack=reader.get("bounds.coldSlack", _parse_non_negative, 0.0),
        is_fencing_checked=reader.get("bounds.fencing", _parse_boolean, True),
    )
    return InstanceSettings(
        options,
        reader.require("platform.address", Address.parse, placeholder_address),
        reader.get("cloud.address", _parse_optional_address, None),
    )


def _parse_text(value: str) -> str:
    if not value:
        raise ValueError("the value is empty")
    return value


def _parse_non_negative(value: str) -> float:
    number = float(value)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"expected a number from 0 to {MAX_NUMBER}, got {value!r}")
    return number


def _parse_boolean(value: str) -> bool:
    if value not in ("true", "false"):
        raise ValueError(f"expected true or false, got {value!r}")
    return value == "true"


def _parse_optional_address(value: str) -> Address | None:
    return Address.parse(value) if value else None


def _parse_port_range(value: str) -> tuple[int, int]:
    first_text, separator, last_text = value.partition(",")
    first, last = parse_port(first_text.strip()), parse_port(last_text.strip())
    if not separator or last <= first:
        raise ValueError(
            f"expected an ascending pair of ports FIRST,LAST, got {value!r}"
        )
    return first, last
