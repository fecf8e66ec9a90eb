"""
The walks of the operations page, from a request's id to its cause.

Each test makes the failure, runs the commands that the page gives, and
expects the lines that the page shows, in the same order.
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
from waxwingwinch.platform.tests.test_program import World

PAGE = SOURCE.parent / "docs" / "OPERATIONS.md"
#: The id that the page uses in its commands.
EXAMPLE_ID = "9c41d07be2a35f68"
#: Subjects of the lines about single requests; beliefs may change meanwhile.
SUBJECTS = {"request", "quota", "upstream"}
RATE_PER_SECOND = 10.0


@frozen
class Walk:
    """One walk of the page."""

    commands: list[str]
    shown: list[str]

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

    def follow(self, folder, request_id):
        """Run the commands in a folder with logs; return all they print."""
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
    """Return the types of the lines about the request itself, in order."""
    _, _, about = output.partition("\nrequest ")
    types = re.findall(r"^\S+ +\S+ +([a-z]+:[a-z_]+)", about, re.MULTILINE)
    return [one for one in types if one.partition(":")[0] in SUBJECTS]


def field(output, line_type, name):
    """Return a field of the first line of a type."""
    line = next(line for line in output.splitlines() if f" {line_type} " in line)
    return dict(re.findall(r"\b(\w+)=(\S+)", line))[name]


@pytest.fixture
def world(tmp_path):
    world = World(tmp_path)
    yield world
    world.stop()


def test_refused_though_inside_its_quota(world, tmp_path):
    quota = {"ratePerS": RATE_PER_SECOND, "burst": RATE_PER_SECOND}
    world.begin(gateways=2)
    world.store.put("op", "config", make_configuration(2, quota=quota))
    answering, killed = world.gateways
    heard = b'"message_type":"peer:reached"'
    log = tmp_path / "edge-0.log"
    assert wait_until(lambda: heard in log.read_bytes())
    killed.process.send_signal(signal.SIGKILL)
    assert wait_until(lambda: b"peer:lost" in log.read_bytes())
    time.sleep(1.5)
    statuses: list[int] = []
    while 429 not in statuses and len(statuses) < 40:
        statuses.append(world.ask(gateway=answering)[0])
        time.sleep(1.0 / (0.8 * RATE_PER_SECOND))
    assert statuses[-1] == 429
    walk = Walk.read("Refused though inside its quota")
    assert wait_until(lambda: f"request-{world.asked}".encode() in log.read_bytes())
    output = walk.follow(tmp_path, f"request-{world.asked}")
    assert line_types(output) == walk.shown
    assert field(output, "quota:exceeded", "share") == "0.500"
    assert field(output, "quota:exceeded", "silent_peers") == "1"
    assert " peer:lost " in output


def test_failed_after_it_was_sent_upstream(world, tmp_path):
    world.begin()
    for upstream in world.upstreams:
        upstream.loses_answers = True
    assert world.ask("/u/order")[0] == 502
    walk = Walk.read("Failed after it was sent upstream")
    time.sleep(0.5)
    output = walk.follow(tmp_path, f"request-{world.asked}")
    assert line_types(output) == walk.shown
    assert field(output, "upstream:failed", "error") == '"AnswerMissing"'
    assert field(output, "request:refused", "reason") == '"outcome_unknown"'
    named = field(output, "upstream:failed", "upstream_id")
    ran = [
        one for one in world.upstreams if any(r[0] == "/u/order" for r in one.requests)
    ]
    assert [f'"{one.name}"' for one in ran] == [named]


def test_served_too_late(world, tmp_path):
    for upstream in world.upstreams:
        upstream.cold_ms = 60_000
    world.begin()
    for upstream in world.upstreams:
        upstream.work_seconds = 0.9
    assert world.ask()[0] == 200
    walk = Walk.read("Served too late")
    time.sleep(0.5)
    output = walk.follow(tmp_path, f"request-{world.asked}")
    assert line_types(output) == walk.shown
    took_seconds = float(field(output, "request:answered", "took_seconds"))
    assert took_seconds > float(field(output, "request:answered", "target_seconds"))
    assert float(field(output, "upstream:answered", "took_seconds")) > 0.85
    assert float(field(output, "upstream:registered", "cold_seconds")) > 50.0
