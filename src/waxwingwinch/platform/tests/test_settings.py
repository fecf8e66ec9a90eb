"""Parsing of the settings file reports all errors with their lines."""

from pathlib import Path

import pytest

from waxwingwinch._types import Address
from waxwingwinch.findings import SettingsInvalid, format_findings
from waxwingwinch.platform._reload import SettingsReloader
from waxwingwinch.platform._settings import (
    InstanceSettings,
    parse_instance_settings,
)

FILE = Path("boot.conf")
VALID_SETTINGS = """
nodeName=edge-north-1
zone=north
zones.north=region
zones.south=region
ip=10.1.0.14
portRange=7600,7615
listen.front=10.1.0.14:8221
listen.readyAddr=10.1.0.14:8224
listen.directoryAddr=10.1.0.14:8220
platform.address=10.200.1.7:8225
cloud.address=10.200.0.35:8225
firstStart=true
bounds.leaseMs=3000
bounds.graceS=8
bounds.drainMs=3000
bounds.usageWindowS=5
bounds.quotaSlack=190000
bounds.coldOvershoot=1.5
bounds.coldSlack=5
bounds.fencing=false
region=region
something.new=kept,for,later
"""


def test_a_valid_file_is_parsed_and_unknown_settings_are_ignored():
    settings = parse_instance_settings(VALID_SETTINGS, FILE)
    assert settings.options.front_address == Address("10.1.0.14", 8221)
    assert settings.options.peer_address == Address("10.1.0.14", 7600)
    assert settings.options.zones == ("north", "south")
    assert settings.options.is_first_start
    assert settings.options.lease_seconds == 3.0
    assert settings.options.quota_slack_units == 190_000
    assert settings.options.drain_seconds == 3.0
    assert settings.orders_address == Address("10.200.0.35", 8225)
    assert settings.options.region == "region"
    assert settings.options.zone_regions == {"north": "region", "south": "region"}
    assert settings.options.cold_overshoot == 1.5
    assert settings.options.cold_slack == 5.0
    assert not settings.options.is_fencing_checked


def test_changed_settings_are_applied_and_invalid_files_are_ignored(tmp_path):
    file = tmp_path / "boot.conf"
    file.write_text(VALID_SETTINGS)
    applied: list[InstanceSettings] = []
    reloader = SettingsReloader(file, applied.append)
    assert not reloader.poll()
    file.write_text(VALID_SETTINGS.replace("10.200.1.7:8225", "10.200.1.8:8225"))
    assert reloader.poll()
    assert applied[0].store_address == Address("10.200.1.8", 8225)
    file.write_text("nonsense")
    assert not reloader.poll()
    file.unlink()
    assert not reloader.poll()
    assert len(applied) == 1


def test_a_platform_without_orders_is_accepted():
    text = VALID_SETTINGS.replace("cloud.address=10.200.0.35:8225\n", "")
    assert parse_instance_settings(text, FILE).orders_address is None


def test_six_errors_give_six_findings():
    text = (
        VALID_SETTINGS.replace("zone=north\n", "zone=\n", 1)
        .replace("portRange=7600,7615", "portRange=7615,7600")
        .replace("listen.front=10.1.0.14:8221", "listen.front=10.1.0.14")
        .replace("platform.address=10.200.1.7:8225\n", "")
        .replace("firstStart=true", "firstStart=yes")
        .replace("bounds.graceS=8", "bounds.graceS 8")
    )
    with pytest.raises(SettingsInvalid) as raised:
        parse_instance_settings(text, FILE)
    findings = format_findings(raised.value).splitlines()
    assert len(findings) == 6
    places = [finding.split(":")[1] for finding in findings]
    assert len(set(places)) == 6
    for name in ("zone", "portRange", "listen.front", "platform.address"):
        assert any(name in finding for finding in findings)


@pytest.mark.parametrize("value", ["nan", "-1", "inf", "ten"])
def test_numbers_must_be_finite_and_not_negative(value):
    text = VALID_SETTINGS.replace("bounds.leaseMs=3000", f"bounds.leaseMs={value}")
    with pytest.raises(SettingsInvalid):
        parse_instance_settings(text, FILE)
