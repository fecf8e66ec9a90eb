import threading
from typing import Any

import cherrypy
import pytest
from cheroot.wsgi import Server
from typer.testing import CliRunner

from waxwingwinch._types import CustomerId, InstanceId
from waxwingwinch.burn import make_app, read_snapshots
from waxwingwinch.kernel import SystemClock
from waxwingwinch.observability import LatencyKind, MetricKey, Metrics, RequestResult
from waxwingwinch.operators_api import (
    MetricsView,
    OperatorApi,
    OperatorRequests,
    ServicePromise,
)
from waxwingwinch.settings import OperatorToken

CLOCK = SystemClock()
CEBU = CustomerId("cebu")
NOBODY_ANSWERS = "127.0.0.1:9"


@pytest.fixture
def entry():
    metrics = Metrics()
    key = MetricKey(CEBU, "/v1/completions")
    metrics.record(key, LatencyKind.FIRST_TOKEN, 0.25)
    metrics.count(key, RequestResult.SERVED)

    def view() -> MetricsView:
        promise = ServicePromise(CEBU, 0.42, 0.056, 0.95)
        wall_seconds = CLOCK.wall_seconds()
        return MetricsView(
            InstanceId("i1"), "a", wall_seconds, metrics.snapshot(), (promise,)
        )

    unused: Any = None
    requests = OperatorRequests(
        configuration=unused,
        withdrawals=unused,
        instances=unused,
        decisions=unused,
        drain=unused,
        health=unused,
        instance_id=InstanceId("i1"),
        tokens=[OperatorToken("ana", "ana-token")],
        metrics=view,
    )
    application = cherrypy.Application(OperatorApi(requests, CLOCK), "/operator")
    server = Server(("127.0.0.1", 0), application)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    yield f"127.0.0.1:{server.bind_addr[1]}"
    server.stop()


def burn(*arguments: str) -> Any:
    return CliRunner().invoke(make_app(), arguments)


def test_live_report_tells_which_entry_is_missing(entry):
    entries = ("--entry", entry, "--entry", NOBODY_ANSWERS)
    result = burn("report", *entries, "--token", "ana-token")
    assert result.exit_code == 0, result.output
    assert "cebu" in result.stdout
    assert f"No snapshot from {NOBODY_ANSWERS}" in result.stdout


def test_saved_rounds_are_reported_in_all_formats(entry, tmp_path):
    file, page, table = (tmp_path / name for name in ("s.jsonl", "p.html", "t.csv"))
    options = ("--entry", entry, "--token", "ana-token")
    pace = ("--rounds", "2", "--every-seconds", "0.1")
    saved = burn("save", str(file), *options, *pace)
    assert saved.exit_code == 0, saved.output
    assert len(read_snapshots([file])) == 2
    result = burn("report", str(file), "--html", str(page), "--csv", str(table))
    assert result.exit_code == 0, result.output
    assert "cebu" in page.read_text()
    assert "cebu" in table.read_text()


def test_exit_codes_tell_what_is_wrong(entry, tmp_path):
    assert burn("report").exit_code == 2
    assert burn("report", "--entry", NOBODY_ANSWERS).exit_code == 3
    assert burn("report", "--entry", entry, "--token", "wrong").exit_code == 3
    file = tmp_path / "s.jsonl"
    file.write_text("{}\n")
    assert burn("report", str(file)).exit_code == 1
