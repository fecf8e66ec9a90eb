"""The stand-in process that several test modules use."""

import pytest

from waxwing_testbed import free_addresses
from waxwing_testbed.standins import (
    AdminClient,
    EngineSettings,
    EngineSpeeds,
    LogSettings,
    PlainSettings,
    PlatformSettings,
    ProxySettings,
    StandinProcess,
    StandinSettings,
)
from waxwing_testbed.standins._admin import AdminInterface
from waxwing_testbed.web import WebServer
from waxwingwinch._types import Address, ModelName, UpstreamId, ZoneName
from waxwingwinch.adapters import HttpEngine
from waxwingwinch.interfaces import GenerateCall

MODEL = ModelName("m")
ZONE = ZoneName("north")


@pytest.fixture
def fleet():
    names = ("admin", "platform", "first", "second", "desk", "proxy")
    addresses = dict(zip(names, free_addresses(len(names)), strict=True))
    speeds = EngineSpeeds(decode_seconds_per_token=0.005, restart_seconds=0.1)
    settings = StandinSettings(
        admin_address=addresses["admin"],
        engines=tuple(
            EngineSettings(
                name=UpstreamId(name),
                address=addresses[name],
                zone=ZONE,
                model=MODEL,
                crash_word="boom",
                speeds=speeds,
                checks_fencing=name == "first",
            )
            for name in ("first", "second")
        ),
        plain_services=(
            PlainSettings(UpstreamId("desk"), addresses["desk"], ZONE, "desk"),
        ),
        platform=PlatformSettings(
            addresses["platform"], log=LogSettings(max_records=3)
        ),
        proxies=(ProxySettings("proxy", addresses["proxy"], addresses["first"]),),
    )
    process = StandinProcess(settings)
    process.start()
    admin = WebServer(settings.admin_address, AdminInterface(process).router())
    admin.start()
    yield Fleet(addresses)
    admin.stop()
    process.stop()


class Fleet:
    def __init__(self, addresses: dict[str, Address]) -> None:
        self.addresses = addresses
        self.admin = AdminClient(addresses["admin"])
        self.engine = HttpEngine()

    def stream(self, name="first", prompt="a prompt", max_tokens=5, **fields):
        call = GenerateCall(f"g-{prompt}", MODEL, prompt, max_tokens, **fields)
        return self.engine.generate(self.addresses[name], call)
