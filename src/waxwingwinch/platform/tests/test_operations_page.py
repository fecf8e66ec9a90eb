"""
The diagnosis procedures of the operations page.

Each procedure leads from the id of a request to the cause of its failure.
Each test provokes the failure, runs the commands from the page, and expects
the log line types that the page shows, in the same order.
"""

import glob
import re
import shlex
import signal
import subprocess
import sys
import time

import pytest
from attrs import frozen

from waxwingwinch.platform.tests.standin import (
    SOURCE,
    make_configuration,
    wait_until,
)
from waxwingwinch.platform.tests.test_program import PlatformHarness

PAGE = SOURCE.parent / "docs" / "OPERATIONS.md"
#: The request id in the commands of the page.
EXAMPLE_ID = "9c41d07be2a35f68"
#: Subjects of log lines about single requests. Lines with other subjects
#: report state changes, which can occur at any time during a test.
SUBJECTS = {"limit", "request", "quota", "upstream"}
RATE_PER_SECOND = 10.0


@frozen
class Procedure:
    """A diagnosis procedure of the page: commands and expected line types."""

    commands: list[str]
    expected_types: list[str]

    @classmethod
    def read(cls, heading):
        text = PAGE.read_text()
        _, _, section = text.partition(f"\n### {heading}\n")
        assert section, heading
        section = re.split(r"\n##+ ", section)[0]
        blocks = re.findall(r"```(\w*)\n(.*?)```", section, re.DOTALL)
        commands = [
            line for kind, body in blocks if kind == "sh" for line in body.splitlines()
        ]
        output = next(body for kind, body in blocks if kind == "text")
        return cls(commands, line_types(output))

    def run(self, folder, request_id):
        """Run the commands in the folder of the logs; return their output."""
        printed = ""
        for command in self.commands:
            program, *arguments = shlex.split(command.replace(EXAMPLE_ID, request_id))
            assert program == "waxwing-ctl"
            names = []
            for argument in arguments:
                names.extend(sorted(glob.glob(argument, root_dir=folder)) or [argument])
            done = subprocess.run(
                [sys.executable, "-m", "waxwingwinch.operators", *names],
                cwd=folder,
                env={"PYTHONPATH": str(SOURCE)},
                capture_output=True,
                text=True,
                check=False,
            )
            assert done.returncode == 0, done.stderr
            printed += done.stdout
        return printed


def line_types(output):
    """Return the types of the log lines about the request itself, in order."""
    _, _, about = output.partition("\nrequest ")
    types = re.findall(r"^\S+ +\S+ +([a-z]+:[a-z_]+)", about, re.MULTILINE)
    return [line_type for line_type in types if line_type.partition(":")[0] in SUBJECTS]


def field(output, line_type, name):
    """Return the value of a field in the first log line of a type."""
    line = next(line for line in output.splitlines() if f" {line_type} " in line)
    return dict(re.findall(r"\b(\w+)=(\S+)", line))[name]


@pytest.fixture
def harness(tmp_path):
    harness = PlatformHarness(tmp_path)
    yield harness
    harness.stop()


def test_refused_though_within_its_quota(harness, tmp_path):
    quota = {"ratePerS": RATE_PER_SECOND, "burst": RATE_PER_SECOND}
    harness.start(gateways=2)
    harness.store.put("op", "config", make_configuration(2, quota=quota))
    answering, killed = harness.gateways
    connected_line = b'"message_type":"peer:reached"'
    log = tmp_path / "edge-0.log"
    assert wait_until(lambda: connected_line in log.read_bytes())
    killed.process.send_signal(signal.SIGKILL)
    assert wait_until(lambda: b"peer:lost" in log.read_bytes())
    time.sleep(1.5)
    statuses: list[int] = []
    while 429 not in statuses and len(statuses) < 40:
        statuses.append(harness.send_request(gateway=answering)[0])
        time.sleep(1.0 / (0.8 * RATE_PER_SECOND))
    assert statuses[-1] == 429
    procedure = Procedure.read("Refused though inside its quota")
    assert wait_until(
        lambda: f"request-{harness.request_count}".encode() in log.read_bytes()
    )
    output = procedure.run(tmp_path, f"request-{harness.request_count}")
    assert line_types(output) == procedure.expected_types
    assert field(output, "quota:exceeded", "share") == "0.500"
    assert field(output, "quota:exceeded", "silent_peers") == "1"
    assert " peer:lost " in output


def test_failed_after_it_was_sent_upstream(harness, tmp_path):
    harness.start()
    for upstream in harness.upstreams:
        upstream.drops_responses = True
    assert harness.send_request("/u/order")[0] == 502
    procedure = Procedure.read("Failed after it was sent upstream")
    time.sleep(0.5)
    output = procedure.run(tmp_path, f"request-{harness.request_count}")
    assert line_types(output) == procedure.expected_types
    assert field(output, "upstream:failed", "error") == '"AnswerMissing"'
    assert field(output, "request:refused", "reason") == '"outcome_unknown"'
    logged_id = field(output, "upstream:failed", "upstream_id")
    executed_by = [
        standin
        for standin in harness.upstreams
        if any(r[0] == "/u/order" for r in standin.requests)
    ]
    assert [f'"{standin.name}"' for standin in executed_by] == [logged_id]


def test_served_too_late(harness, tmp_path):
    for upstream in harness.upstreams:
        upstream.cold_ms = 60_000
    harness.start()
    for upstream in harness.upstreams:
        upstream.work_seconds = 0.9
    assert harness.send_request()[0] == 200
    procedure = Procedure.read("Served too late")
    time.sleep(0.5)
    output = procedure.run(tmp_path, f"request-{harness.request_count}")
    assert line_types(output) == procedure.expected_types
    took_seconds = float(field(output, "request:answered", "took_seconds"))
    assert took_seconds > float(field(output, "request:answered", "target_seconds"))
    assert float(field(output, "upstream:answered", "took_seconds")) > 0.85
    assert float(field(output, "upstream:registered", "cold_seconds")) > 50.0


def test_refused_by_the_limits_of_upstreams(harness, tmp_path):
    harness.start()
    for upstream in harness.upstreams:
        upstream.limit_per_second = 0.1
    statuses: list[int] = []
    while 503 not in statuses and len(statuses) < 20:
        statuses.append(harness.send_request()[0])
        time.sleep(0.3)
    assert statuses[-1] == 503
    procedure = Procedure.read("Refused by the limits of upstreams")
    time.sleep(0.5)
    output = procedure.run(tmp_path, f"request-{harness.request_count}")
    assert set(line_types(output)) == set(procedure.expected_types)
    assert field(output, "limit:changed", "limit_per_second") == "0.100"
    assert field(output, "limit:decided", "is_granted") == "false"
    assert field(output, "request:refused", "reason") == '"upstream_limit"'


def test_refused_until_upstreams_return(harness, tmp_path):
    harness.start()
    for upstream in harness.upstreams:
        upstream.return_seconds = 20
    # The first request learns when the upstreams return.
    statuses = [harness.send_request()[0] for _ in range(2)]
    assert statuses == [503, 503]
    procedure = Procedure.read("Refused until upstreams return")
    time.sleep(0.5)
    output = procedure.run(tmp_path, f"request-{harness.request_count}")
    assert set(line_types(output)) == set(procedure.expected_types)
    assert field(output, "upstream:turned_away", "return_seconds") == "20.000"
    assert field(output, "request:refused", "reason") == '"upstreams_away"'
