"""Ports out of range in settings and in records of instances."""

from pathlib import Path

import pytest

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.findings import SettingsInvalid
from waxwingwinch.gateway._members import Member
from waxwingwinch.platform._settings import parse_instance_settings
from waxwingwinch.platform.tests.test_odd_settings import changed


# Guards against calls that end their thread at a port the socket rejects.
@pytest.mark.parametrize(
    "name", ["platform.address", "cloud.address", "listen.front", "listen.readyAddr"]
)
@pytest.mark.parametrize(
    "port", ["99999", "65536", "0", "-1", "9" * 5_000, "8_0", "\u0668", " 80", ""]
)
def test_an_address_with_an_odd_port_is_a_finding(name, port):
    with pytest.raises(SettingsInvalid):
        parse_instance_settings(changed(name, f"10.0.0.2:{port}"), Path("s"))


@pytest.mark.parametrize("ports", ["1,99999", "-5,7", "70000,70001", "0,5", "1_0,20"])
def test_an_odd_range_of_ports_is_a_finding(ports):
    with pytest.raises(SettingsInvalid):
        parse_instance_settings(changed("portRange", ports), Path("s"))


# Guards against links to peers that end at a port the socket rejects.
@pytest.mark.parametrize("port", [65_536, 99_999, 0, -1, 10**30])
def test_a_member_record_with_a_port_out_of_range_is_malformed(port):
    member = Member(
        InstanceId("i"),
        "n",
        ZoneName("z"),
        Address("10.0.0.1", port),
        Address("10.0.0.1", 1),
    )
    with pytest.raises(MalformedMessage):
        decode_message(encode_message(member))
