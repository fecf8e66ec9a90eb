import json
import socket
import threading
from pathlib import Path
from typing import Any

import cherrypy
import pytest
from cheroot.wsgi import Server
from typer.testing import CliRunner

from waxwing_testbed.fakes import MemoryLog
from waxwingwinch._types import Address, CustomerId, InstanceId, ZoneName
from waxwingwinch.configuration.service import (
    ConfigurationService,
    WithdrawalCoordinator,
)
from waxwingwinch.contracts import Caller, DecisionKind, Freshness, Reason
from waxwingwinch.kernel import Health, SystemClock
from waxwingwinch.operators import make_app
from waxwingwinch.operators_api import InstanceView, OperatorApi, OperatorRequests
from waxwingwinch.settings import OperatorToken

WAIT_SECONDS = 20.0
CLOCK = SystemClock()
SELF = InstanceId("i0")
EXAMPLES = Path(__file__).resolve().parents[4] / "docs" / "examples"
HOST = "127.0.0.1"


class Cell:
    """This instance and how many others there should be."""

    def __init__(self, service: ConfigurationService) -> None:
        self.expected = 1
        self._service = service

    def expected_instances(self) -> int:
        return self.expected

    def instances(self, now_seconds: float) -> tuple[InstanceView, ...]:
        version = self._service.current().version
        digest = self._service.withdrawals_digest()
        address = Address(HOST, 1)
        zone = ZoneName("iloilo")
        return (InstanceView(SELF, zone, address, version, digest, False, 0.0),)

    def broadcast(self, notice: Any, timeout_seconds: float) -> frozenset[InstanceId]:
        return frozenset({SELF})

    def about(self, name: str) -> tuple[Reason, ...]:
        text = "The engine was idle."
        return (Reason(DecisionKind.ROUTED, name, 0.0, text),)

    def add(self, reason: Reason) -> None:
        raise AssertionError(reason)


def serve(requests: OperatorRequests) -> Server:
    api = OperatorApi(requests, CLOCK)
    application = cherrypy.Application(api, "/operator")
    server = Server((HOST, 0), application)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server


@pytest.fixture
def service():
    service = ConfigurationService(MemoryLog(), CLOCK, lambda _: Freshness.FRESH)
    service.start()
    service.follower.wait_until(service.is_ready, WAIT_SECONDS)
    yield service
    service.stop()


@pytest.fixture
def cell(service):
    return Cell(service)


@pytest.fixture
def entry(service, cell):
    withdrawals = WithdrawalCoordinator(service, cell, CLOCK, SELF, 0.0)
    withdrawals.start()
    requests = OperatorRequests(
        configuration=service,
        withdrawals=withdrawals,
        instances=cell,
        decisions=cell,
        drain=lambda _: None,
        health=lambda: {"configuration": Health.HEALTHY},
        instance_id=SELF,
        tokens=[OperatorToken("ana", "ana-token")],
    )
    server = serve(requests)
    yield f"{HOST}:{server.bind_addr[1]}"
    server.stop()
    withdrawals.stop()


@pytest.fixture
def closed_entry():
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        yield f"{HOST}:{listener.getsockname()[1]}"


@pytest.fixture
def ctl(entry):
    def run(*arguments: str, entries: tuple[str, ...] = (entry,)) -> Any:
        options = [part for name in entries for part in ("--entry", name)]
        options += ["--token", "ana-token", "--wait", "1"]
        return CliRunner().invoke(make_app(), [*options, *arguments])

    return run


def publish(ctl: Any, name: str = "tahi") -> Any:
    file = str(EXAMPLES / f"{name}.yaml")
    return ctl("config", "publish", file, "--reason", "first")


def test_file_is_published_once(ctl, service):
    result = publish(ctl)
    assert result.exit_code == 0, result.output
    assert "version 1 accepted; in force on 1 of 1 instances" in result.stdout
    owner = service.authenticate("panay-1.demo-only", 0.0)
    assert owner == Caller(CustomerId("panay-circles"), "panay-1")
    assert "nothing to publish" in publish(ctl).stdout
    assert "~ defaults.spend_weight: 3.0 -> 1.0" in publish(ctl, "greenwood").stdout


def test_shown_configuration_can_be_published(ctl, tmp_path):
    publish(ctl)
    file = tmp_path / "shown.yaml"
    file.write_text(ctl("config", "show").stdout)
    assert ctl("config", "diff", str(file)).stdout == "no difference\n"


def test_wrong_file_has_findings(ctl, tmp_path):
    file = tmp_path / "wrong.yaml"
    file.write_text("customer: {}\n")
    result = ctl("config", "check", str(file))
    assert result.exit_code == 1
    assert f"{file}:1:1: customer: unknown key (did you mean 'customers'?)" in (
        result.stderr
    )
    result = ctl("config", "check", str(file), "--json")
    assert json.loads(result.stdout)["findings"][0]["suggestion"] == "customers"


def test_customer_and_key_from_creation_to_withdrawal(ctl, service):
    put = ("customer", "put", "cebu", "--rate", "2", "--burst", "4")
    assert ctl(*put, "--reason", "new").exit_code == 0
    created = ctl("key", "create", "cebu", "--key-id", "k1", "-r", "new", "--json")
    key = json.loads(created.stdout)["key"]
    assert service.authenticate(key, 0.0) == Caller(CustomerId("cebu"), "k1")
    result = ctl("key", "withdraw", "k1", "--reason", "lost")
    assert result.exit_code == 0, result.output
    assert service.is_withdrawn("k1")
    assert "withdrawn" in ctl("key", "list").stdout
    assert ctl("customer", "remove", "cebu", "-r", "left").exit_code == 0
    assert json.loads(ctl("customer", "list", "--json").stdout) == []


def test_exceptions_need_reasons_and_scopes(ctl):
    add = ("exception", "add", "x", "drain_seconds", "5")
    assert ctl(*add, "--zone", "cebu").exit_code == 2
    assert ctl(*add, "--reason", "r").exit_code == 2
    refused = ctl(*add, "--zone", "cebu", "--reason", " ")
    assert refused.exit_code == 1
    assert "exceptions.x.reason: an exception needs a reason" in refused.stderr
    assert ctl(*add, "--zone", "cebu", "--reason", "storm").exit_code == 0
    assert "storm" in ctl("exception", "list").stdout
    assert ctl("exception", "remove", "x", "-r", "over").exit_code == 0


def test_defaults(ctl):
    assert ctl("default", "set", "drain_seconds", "7", "-r", "r").exit_code == 0
    assert json.loads(ctl("default", "show", "--json").stdout)["drain_seconds"] == 7.0
    wrong = ctl("default", "set", "drain_second", "7", "-r", "r")
    assert wrong.exit_code == 1
    assert "did you mean 'drain_seconds'" in wrong.stderr
    assert "drain_seconds to 7" in ctl("config", "history").stdout


def test_change_that_is_not_everywhere_in_time(ctl, cell):
    cell.expected = 7
    result = ctl("default", "set", "drain_seconds", "7", "-r", "r")
    assert result.exit_code == 4
    assert "in force on 1 of 7 instances" in result.stdout


def test_next_entry_is_asked(ctl, entry, closed_entry):
    result = ctl("status", entries=(closed_entry, entry))
    assert result.exit_code == 0, result.output
    assert "1 of 1 instances known to i0" in result.stdout


def test_no_entry_answers(ctl, closed_entry):
    result = ctl("status", entries=(closed_entry,))
    assert result.exit_code == 3
    assert closed_entry in result.stderr
    assert "may have taken effect" not in result.stderr


def test_wrong_usage(ctl, entry, closed_entry):
    assert ctl("status", entries=()).exit_code == 2
    assert ctl("drain", entries=(entry, closed_entry)).exit_code == 2
    assert ctl("nothing").exit_code == 2


def test_drain_and_explain(ctl):
    assert ctl("drain").stdout == "i0 is draining\n"
    assert "routed r1: The engine was idle." in ctl("explain", "r1").stdout


def test_unknown_token_is_refused(entry):
    options = ["--entry", entry, "--token", "wrong", "status"]
    result = CliRunner().invoke(make_app(), options)
    assert result.exit_code == 1
    assert "operator's token" in result.stderr


def test_help_shows_examples():
    result = CliRunner().invoke(make_app(), ["key", "create", "--help"])
    assert "Example: waxwing-ctl key create" in result.stdout
    assert ":param" not in CliRunner().invoke(make_app(), ["--help"]).stdout


def test_a_request_is_traced_through_saved_logs(ctl, tmp_path):
    log = tmp_path / "i1.log"
    log.write_text(
        '{"timestamp": 1.0, "message_type": "gateway:starting", "instance_id": "i1"}\n'
        '{"timestamp": 2.0, "message_type": "quota:exceeded", "request_id": "r",'
        ' "share": 0.5}\n'
    )
    result = ctl("trace", "r", str(log))
    assert result.exit_code == 0
    assert "gateway:starting" in result.stdout.partition("request r:")[0]
    assert "share=0.500" in result.stdout.partition("request r:")[2]
    document = json.loads(ctl("trace", "r", str(log), "--json").stdout)
    assert document["lines"][0]["fields"]["share"] == 0.5
    unknown = ctl("trace", "other", str(log))
    assert unknown.exit_code == 1
    assert "no line tells of request other" in unknown.stdout
