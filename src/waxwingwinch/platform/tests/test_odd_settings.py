"""Settings files with values that no reader expects."""

from pathlib import Path

from waxwingwinch._types import Address
from waxwingwinch.platform._settings import parse_instance_settings

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
