"""
Run every check and print one closing line with the real counts.

Checks listed in ``KNOWN-RED.txt`` are run as well; their failures are printed
but don't fail the run.
"""

import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

from attrs import frozen

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
#: Seed of all generated schedules, so that each run gives the same verdict.
HYPOTHESIS_SEED = "20261204"


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
    Run a command in the project's root and return its exit status.

    :param command: Program and arguments.
    """
    print(
        "$",
        " ".join(
            pathlib.Path(command[0]).name if n == 0 else part
            for n, part in enumerate(command)
        ),
        flush=True,
    )
    environment = dict(os.environ, PYTHONPATH=str(ROOT / "src"))
    return subprocess.run(command, cwd=ROOT, env=environment, check=False).returncode


def run_linters() -> list[Check]:
    """Run formatter, linter and type checker."""
    ruff = str(BIN / "ruff")
    places = ["src", "features", "tools"]
    return [
        Check("ruff format", run([ruff, "format", "--check", *places]) == 0),
        Check("ruff check", run([ruff, "check", *places]) == 0),
        Check("mypy", run([str(BIN / "mypy")]) == 0),
    ]


def run_unit_tests(report: pathlib.Path) -> list[Check]:
    """
    Run the tests beside the packages.

    :param report: Where pytest writes its JUnit report.
    """
    status = run(
        [
            str(BIN / "pytest"),
            f"--hypothesis-seed={HYPOTHESIS_SEED}",
            f"--junitxml={report}",
        ]
    )
    checks = []
    if report.exists():
        text = report.read_text()
        for case in re.finditer(
            r'<testcase classname="([^"]*)" name="([^"]*)"[^>]*?(/>|>(.*?)</testcase>)',
            text,
            re.DOTALL,
        ):
            failed = bool(re.search(r"<(failure|error)\b", case.group(4) or ""))
            checks.append(Check(f"{case.group(1)}::{case.group(2)}", not failed))
    if status not in (0, 1):
        checks.append(Check(f"pytest (exit status {status})", False))
    return checks


def run_scenarios(report: pathlib.Path) -> list[Check]:
    """
    Run the scenarios with real processes.

    :param report: Where behave writes its JSON report.
    """
    status = run(
        [
            str(BIN / "behave"),
            "--no-capture",
            "--format=progress",
            "--format=json",
            f"--outfile={os.devnull}",
            f"--outfile={report}",
            "features",
        ]
    )
    checks = []
    if report.exists() and report.stat().st_size:
        for feature in json.loads(report.read_text()):
            for element in feature.get("elements", []):
                if element["type"] == "background":
                    continue
                name = f"{feature['name']}: {element['name']}"
                checks.append(Check(name, element.get("status") == "passed"))
    if status and all(check.passed for check in checks):
        checks.append(Check(f"behave (exit status {status})", False))
    return checks


def known_red_names() -> set[str]:
    """Return the names of the checks that are allowed to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test: ") for line in lines if line.startswith("test: ")}


def main() -> int:
    """Run all checks and return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        checks = run_linters()
        checks += run_unit_tests(pathlib.Path(folder) / "unit.xml")
        checks += run_scenarios(pathlib.Path(folder) / "scenarios.json")
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
