"""Stand-ins, adapters and admin calls together over real sockets."""

import contextlib
import pathlib
import signal
import subprocess
import sys
import threading

import pytest

from waxwing_testbed import expected_token, free_addresses
from waxwing_testbed.proxy import Direction, ProxyFaults
from waxwing_testbed.standins import (
    AdminClient,
    EngineSettings,
    EngineSpeeds,
    Fault,
    LogSettings,
    Outage,
    PlainSettings,
    PlatformSettings,
    ProxySettings,
    StandinProcess,
    StandinSettings,
    load_settings,
)
from waxwing_testbed.standins._admin import AdminInterface
from waxwing_testbed.web import WebServer
from waxwingwinch._exceptions import (
    OrderRefused,
    Outcome,
    PlatformUnavailable,
    UpstreamFailed,
    WaxwingError,
)
from waxwingwinch._types import (
    Address,
    EngineRole,
    Epoch,
    InstanceId,
    ModelName,
    UpstreamId,
    ZoneName,
)
from waxwingwinch.adapters import (
    HttpEngine,
    HttpInstanceList,
    HttpPlainService,
    HttpPlatformLog,
    HttpUpstreamMarket,
    HttpUsageIntake,
)
from waxwingwinch.interfaces import (
    EngineOrder,
    GenerateCall,
    ListedInstance,
    OrderResult,
    PlainCall,
    SetRole,
    StreamEnd,
    StreamPart,
    UsageReport,
)

MODEL = ModelName("m")
ZONE = ZoneName("north")
ROOT = pathlib.Path(__file__).parents[4]
EXAMPLE = ROOT / "docs/examples/standin-small.yaml"
READY_SECONDS = 20.0


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


def assert_cut(items):
    with pytest.raises(UpstreamFailed) as caught:
        list(items)
    assert caught.value.outcome is Outcome.UNKNOWN


def test_an_answer_is_whole_and_as_expected(fleet):
    *parts, end = fleet.stream()
    assert parts == [StreamPart(n, expected_token("a prompt", n)) for n in range(5)]
    assert isinstance(end, StreamEnd)


def test_streams_run_side_by_side(fleet):
    wrong = []

    def read(number):
        *parts, _ = fleet.stream(prompt=f"prompt {number}", max_tokens=20)
        texts = [expected_token(f"prompt {number}", n) for n in range(20)]
        if [part.text for part in parts] != texts:
            wrong.append(number)

    threads = [threading.Thread(target=read, args=(n,)) for n in range(40)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert wrong == []
    assert len(fleet.admin.engine_journal("first").generations) == 40


def test_a_prefilled_prompt_moves_to_another_engine(fleet):
    *parts, end = fleet.stream("first", prefill_only=True)
    assert parts == [] and end.output_tokens == 0
    source = fleet.addresses["first"]
    assert len(list(fleet.stream("second", kv_source=source))) == 6
    with pytest.raises(UpstreamFailed) as caught:
        fleet.stream("second", kv_source=source)
    assert caught.value.outcome is Outcome.NOT_RUN


def test_a_role_change_cuts_streams_and_is_run_once(fleet):
    address = fleet.addresses["first"]
    items = iter(fleet.stream(max_tokens=10_000))
    next(items)
    order = EngineOrder("o", Epoch(5), SetRole(EngineRole.DECODE))
    assert fleet.engine.order(address, order) is OrderResult.STARTED
    assert_cut(items)
    assert fleet.engine.order(address, order) is OrderResult.STARTED
    with pytest.raises(OrderRefused):
        old = EngineOrder("old", Epoch(4), SetRole(EngineRole.MIXED))
        fleet.engine.order(address, old)
    journal = fleet.admin.engine_journal("first")
    assert [row.result for row in journal.orders] == ["run", "repeated", "refused"]
    assert (journal.cut_streams, journal.cancelled) == (1, 0)


def test_an_engine_may_ignore_fencing_tokens(fleet):
    for number, epoch in enumerate((5, 4)):
        order = EngineOrder(f"o{number}", Epoch(epoch), SetRole(EngineRole.MIXED))
        fleet.engine.order(fleet.addresses["second"], order)
    journal = fleet.admin.engine_journal("second")
    assert [row.result for row in journal.orders] == ["run", "run"]


def test_a_lost_answer_to_an_order_comes_after_the_effect(fleet):
    fleet.admin.set_fault("first", "order", Fault(lose_answers_next=1))
    order = EngineOrder("o", Epoch(1), SetRole(EngineRole.DECODE))
    with pytest.raises(UpstreamFailed) as caught:
        fleet.engine.order(fleet.addresses["first"], order)
    assert caught.value.outcome is Outcome.UNKNOWN
    assert [row.result for row in fleet.admin.engine_journal("first").orders] == ["run"]


def test_a_crashing_prompt_cuts_the_others_and_the_engine_returns(fleet):
    items = iter(fleet.stream(max_tokens=10_000))
    next(items)
    with pytest.raises(UpstreamFailed) as caught:
        fleet.stream(prompt="go boom now")
    assert caught.value.outcome is Outcome.UNKNOWN
    assert_cut(items)
    wait_until_serving(fleet)
    assert len(list(fleet.stream())) == 6
    assert fleet.admin.engine_journal("first").crashes == 1


def wait_until_serving(fleet):
    for _ in range(400):
        with contextlib.suppress(UpstreamFailed):
            fleet.engine.load_report(fleet.addresses["first"])
            return
        threading.Event().wait(0.02)
    raise AssertionError("the engine did not come back")


def test_a_closed_stream_is_cancelled(fleet):
    stream = fleet.stream(max_tokens=10_000)
    next(iter(stream))
    stream.close()
    for _ in range(400):
        if fleet.admin.engine_journal("first").cancelled:
            return
        threading.Event().wait(0.02)
    raise AssertionError("the generation still runs")


def test_a_cancelled_generation_is_cut(fleet):
    items = iter(fleet.stream(max_tokens=10_000))
    next(items)
    fleet.engine.cancel(fleet.addresses["first"], "g-a prompt")
    assert_cut(items)


def test_a_cut_proxy_stalls_a_stream(fleet):
    items = iter(fleet.stream("proxy", max_tokens=10_000, idle_timeout_seconds=0.2))
    next(items)
    fleet.admin.set_proxy("proxy", ProxyFaults(cut=(Direction.BACKWARD,)))
    assert_cut(items)


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


def test_every_usage_report_is_recorded(fleet):
    intake = HttpUsageIntake(fleet.addresses["platform"])
    report = UsageReport(0, 60, Epoch(1), ())
    for _ in range(2):
        intake.submit(report)
    journal = fleet.admin.platform_journal()
    assert [row.report for row in journal.reports] == [report, report]


def test_instances_come_and_go(fleet):
    peer = fleet.addresses["admin"]
    instance = ListedInstance(InstanceId("i"), ZONE, peer, peer, peer)
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
