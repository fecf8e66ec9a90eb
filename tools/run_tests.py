"""
Run every check and print one closing line with the real counts.

Checks listed in ``KNOWN-RED.txt`` are run as well; their failures are printed
but don't fail the run.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from xml.etree import ElementTree

from attrs import frozen

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
#: Seed of all generated schedules, so that each run gives the same verdict.
HYPOTHESIS_SEED = "20261204"
#: Parts of the run at one time; a feature keeps one to three cores busy.
PARALLEL_JOBS = 3
#: Tests with many clients against low limits. They run one at a time after all
#: other jobs, since load would decide which clients get through.
SEPARATE_TESTS = ROOT / "src/waxwingwinch/platform/tests/misuse"
#: Exit status of pytest after failed tests.
PYTEST_FAILED = 1
#: Exit status of pytest without tests.
PYTEST_NO_TESTS = 5

_PRINTING = threading.Lock()


@frozen
class Check:
    """
    The result of one test, scenario or linter.

    :param name: Name as ``KNOWN-RED.txt`` spells it.
    :param passed: True if it passed.
    """

    name: str
    passed: bool


def run(command: list[str]) -> int:
    """
    Run a command in the project's root and print its output at its end.

    :param command: Program and arguments.
    :returns: Its exit status.
    """
    environment = dict(os.environ, PYTHONPATH=str(ROOT / "src"))
    started_seconds = time.monotonic()
    done = subprocess.run(
        command,
        cwd=ROOT,
        env=environment,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
    )
    took_seconds = time.monotonic() - started_seconds
    shown = " ".join([pathlib.Path(command[0]).name, *command[1:]])
    with _PRINTING:
        print(f"$ {shown} ({took_seconds:.0f} s)")
        print(done.stdout, flush=True)
    return done.returncode


def run_linters() -> list[Check]:
    """Run formatter, linter and type checker."""
    ruff = str(BIN / "ruff")
    places = ["src", "features", "tools"]
    return [
        Check("ruff format", run([ruff, "format", "--check", *places]) == 0),
        Check("ruff check", run([ruff, "check", *places]) == 0),
        Check("mypy", run([str(BIN / "mypy")]) == 0),
    ]


def run_unit_tests(package: pathlib.Path) -> list[Check]:
    """
    Run the tests of a folder, except those that run separately.

    :param package: Folder of a package, or the separate tests themselves.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "unit.xml"
        ignored = [] if package == SEPARATE_TESTS else [f"--ignore={SEPARATE_TESTS}"]
        status = run(
            [
                str(BIN / "pytest"),
                str(package.relative_to(ROOT)),
                *ignored,
                f"--hypothesis-seed={HYPOTHESIS_SEED}",
                f"--junitxml={report}",
            ]
        )
        checks = _read_unit_report(report)
    if status not in (0, PYTEST_FAILED, PYTEST_NO_TESTS):
        checks.append(Check(f"pytest {package.name} (exit status {status})", False))
    return checks


def _read_unit_report(report: pathlib.Path) -> list[Check]:
    if not report.exists():
        return []
    checks = []
    for case in ElementTree.parse(report).iter("testcase"):
        is_failed = any(child.tag in ("failure", "error") for child in case)
        name = f"{case.get('classname')}::{case.get('name')}"
        checks.append(Check(name, not is_failed))
    return checks


def run_feature(feature: pathlib.Path) -> list[Check]:
    """
    Run the scenarios of one feature with real processes.

    :param feature: The feature's file.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "scenarios.json"
        status = run(
            [
                str(BIN / "behave"),
                "--no-capture",
                "--format=plain",
                "--format=json",
                "--outfile=-",
                f"--outfile={report}",
                str(feature.relative_to(ROOT)),
            ]
        )
        checks = _read_feature_report(report)
    if status and all(check.passed for check in checks):
        checks.append(Check(f"{feature.name} (exit status {status})", False))
    return checks


def _read_feature_report(report: pathlib.Path) -> list[Check]:
    if not report.exists() or not report.stat().st_size:
        return []
    return [
        Check(f"{feature['name']}: {element['name']}", element["status"] == "passed")
        for feature in json.loads(report.read_text())
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]


def make_jobs() -> list[Callable[[], list[Check]]]:
    """Return all parts of the run, the longest first."""
    features = sorted(ROOT.glob("features/*.feature"))
    packages = sorted(
        folder for folder in ROOT.glob("src/*/*") if any(folder.rglob("test_*.py"))
    )
    return [
        *(partial(run_feature, feature) for feature in features),
        *(partial(run_unit_tests, package) for package in packages),
        run_linters,
    ]


def known_red_names() -> set[str]:
    """Return the names of the checks that are allowed to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test: ") for line in lines if line.startswith("test: ")}


def main() -> int:
    """Run all checks and return the exit status."""
    with ThreadPoolExecutor(PARALLEL_JOBS) as pool:
        results = list(pool.map(lambda job: job(), make_jobs()))
    results.append(run_unit_tests(SEPARATE_TESTS))
    checks = [check for result in results for check in result]
    known = known_red_names()
    failed = [check for check in checks if not check.passed]
    red = [check for check in failed if check.name in known]
    unexpected = [check for check in failed if check.name not in known]
    for check in red:
        print(f"known red: {check.name}")
    for check in unexpected:
        print(f"FAILED: {check.name}")
    passed = len(checks) - len(failed)
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not checks else 0


if __name__ == "__main__":
    sys.exit(main())
