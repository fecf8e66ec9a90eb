"""Settings files with values that no reader expects."""

from pathlib import Path

import pytest

from waxwingwinch._types import Address
from waxwingwinch.findings import SettingsInvalid
from waxwingwinch.platform._reload import SettingsReloader
from waxwingwinch.platform._settings import InstanceSettings, parse_instance_settings

SETTINGS = """\
nodeName=edge-1
ip=10.0.0.1
portRange=20000,20010
zone=north
listen.front=10.0.0.1:8080
listen.readyAddr=10.0.0.1:8081
listen.directoryAddr=10.0.0.1:8082
platform.address=10.0.0.2:9000
cloud.address=10.0.0.3:9001
"""


def changed(name, value):
    lines = [line for line in SETTINGS.splitlines() if not line.startswith(name + "=")]
    return "\n".join([*lines, f"{name}={value}"]) + "\n"


def test_the_settings_without_a_change_are_valid():
    settings = parse_instance_settings(SETTINGS, Path("s"))
    assert settings.store_address == Address("10.0.0.2", 9_000)


# Guards against a reload that ends its thread (OverflowError).
@pytest.mark.parametrize(
    "name", ["limits.memoryMb", "limits.maxFds", "bounds.leaseMs", "bounds.graceS"]
)
@pytest.mark.parametrize("number", ["1e308", "9" * 400, "nan", "inf", "-1", "x"])
def test_an_odd_number_is_a_finding(name, number):
    with pytest.raises(SettingsInvalid):
        parse_instance_settings(changed(name, number), Path("s"))


# Guards against settings that are never reloaded after one unreadable file.
@pytest.mark.parametrize(
    "content",
    [
        b"\xff\xfe\x00",
        b"nodeName=\xc3",
        changed("limits.memoryMb", "1e308").encode(),
        changed("platform.address", "10.0.0.2:99999").encode(),
    ],
)
def test_an_odd_file_leaves_the_settings_in_force(tmp_path, content):
    path = tmp_path / "settings"
    path.write_text(SETTINGS)
    applied: list[InstanceSettings] = []
    reloader = SettingsReloader(path, applied.append)
    path.write_bytes(content)
    assert not reloader.poll()
    path.write_text(changed("platform.address", "10.0.0.9:9000"))
    assert reloader.poll()
    (settings,) = applied
    assert settings.store_address == Address("10.0.0.9", 9_000)
