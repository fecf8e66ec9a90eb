"""Platform, plain services and the program over real sockets."""

import pathlib
import signal
import subprocess
import sys
import threading

import pytest

from waxwing_testbed import free_addresses
from waxwing_testbed.standins import (
    MARKET_OPERATIONS,
    AdminClient,
    Fault,
    Outage,
    load_settings,
)
from waxwingwinch._exceptions import PlatformUnavailable, WaxwingError
from waxwingwinch._types import Epoch, InstanceId, ZoneName
from waxwingwinch.adapters import (
    HttpInstanceList,
    HttpPlainService,
    HttpPlatformLog,
    HttpUpstreamMarket,
    HttpUsageIntake,
)
from waxwingwinch.interfaces import ListedInstance, PlainCall, UsageReport

ROOT = pathlib.Path(__file__).parents[4]
EXAMPLE = ROOT / "docs/examples/standin-small.yaml"
READY_SECONDS = 20.0


def test_headers_and_executions_reach_the_journal(fleet):
    headers = (("Authorization", "Bearer secret"), ("Idempotency-Key", "k"))
    call = PlainCall("r-1", "POST", "/seats?day=1", headers, b"{}", 2.0)
    answer = HttpPlainService().call(fleet.addresses["desk"], call)
    assert b'"execution": 1' in answer.body
    journal = fleet.admin.plain_journal("desk")
    (execution,) = journal.executions
    assert (execution.path, execution.request_id) == ("/seats?day=1", "r-1")
    assert execution.idempotency_key == "k"
    assert "Bearer secret" in {row.value for row in journal.headers}


def test_a_lost_append_took_effect(fleet):
    log = HttpPlatformLog(fleet.addresses["platform"])
    fleet.admin.set_fault("platform", "append", Fault(lose_answers_next=1))
    with pytest.raises(PlatformUnavailable) as caught:
        log.append("s", [b"a"], 2.0)
    assert caught.value.may_have_taken_effect
    assert [row.payload for row in log.read("s", 0, 0.0, 2.0).records] == [b"a"]


def test_a_long_read_ends_with_the_append(fleet):
    log = HttpPlatformLog(fleet.addresses["platform"])
    timer = threading.Timer(0.05, log.append, args=("s", [b"late"], 2.0))
    timer.start()
    page = log.read("s", 0, 30.0, 40.0)
    timer.join()
    assert [row.payload for row in page.records] == [b"late"]


def test_parts_of_the_platform_fail_apart(fleet):
    address = fleet.addresses["platform"]
    fleet.admin.set_fault("platform", "append", Fault(outage=Outage.HANG))
    with pytest.raises(PlatformUnavailable):
        HttpPlatformLog(address).append("s", [b"a"], 0.1)
    assert len(HttpUpstreamMarket(address).list_upstreams()) == 3
    fleet.admin.clear_faults("platform")
    assert HttpPlatformLog(address).append("s", [b"b"], 2.0) == 0


def test_an_outage_of_the_market_spares_the_log(fleet):
    address = fleet.addresses["platform"]
    fleet.admin.set_outage("platform", MARKET_OPERATIONS, Outage.REFUSE)
    with pytest.raises(PlatformUnavailable):
        HttpUpstreamMarket(address).was_placed("o")
    assert HttpPlatformLog(address).append("s", [b"a"], 2.0) == 0


def test_every_usage_report_is_recorded(fleet):
    intake = HttpUsageIntake(fleet.addresses["platform"])
    report = UsageReport(0, 60, Epoch(1), ())
    for _ in range(2):
        intake.submit(report)
    journal = fleet.admin.platform_journal()
    assert [row.report for row in journal.reports] == [report, report]


def test_instances_come_and_go(fleet):
    peer = fleet.addresses["admin"]
    instance = ListedInstance(InstanceId("i"), ZoneName("z"), peer, peer, peer)
    instances = HttpInstanceList(fleet.addresses["platform"])
    fleet.admin.put_instance(instance)
    assert instances.list_instances() == (instance,)
    fleet.admin.remove_instance("i")
    assert instances.list_instances() == ()


def test_admin_calls_to_unknown_names_fail(fleet):
    with pytest.raises(WaxwingError):
        fleet.admin.set_fault("nobody", "call", Fault())


def test_the_example_settings_can_be_read():
    settings = load_settings(EXAMPLE)
    assert [engine.model for engine in settings.engines] == ["assistant"] * 2


def test_engine_defaults_fill_what_an_engine_leaves_out(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(
        "admin_address: 127.0.0.1:1\n"
        "engine_defaults: {zone: z, speeds: {restart_seconds: 9}}\n"
        "engines:\n"
        "- {name: e, address: '127.0.0.1:2', speeds: {interference_factor: 1}}\n"
    )
    (engine,) = load_settings(path).engines
    assert engine.zone == "z"
    assert engine.speeds.restart_seconds == 9.0
    assert engine.speeds.interference_factor == 1.0


def test_unknown_settings_are_rejected(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text("admin_address: 127.0.0.1:1\nengnies: []\n")
    with pytest.raises(ExceptionGroup):
        load_settings(path)


def test_the_program_stops_on_sigterm(tmp_path):
    admin, platform = free_addresses(2)
    path = tmp_path / "settings.yaml"
    path.write_text(f"admin_address: {admin}\nplatform: {{address: '{platform}'}}\n")
    code = "from waxwing_testbed.standins import main; main()"
    command = [sys.executable, "-c", code, "--settings", str(path)]
    with subprocess.Popen(command) as program:
        AdminClient(admin).wait_ready(READY_SECONDS)
        program.send_signal(signal.SIGTERM)
        assert program.wait(READY_SECONDS) == 0
