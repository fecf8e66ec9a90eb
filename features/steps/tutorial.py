"""Steps that run the commands of the tutorial."""

import json
import os
import pathlib
import re
import subprocess
import sys
import time

from behave import given, then, when

ROOT = pathlib.Path(__file__).resolve().parents[2]
TUTORIAL = ROOT / "docs" / "tutorial.md"
#: How long one block of commands may take.
BLOCK_TIMEOUT_SECONDS = 90.0
#: How long the entry may take to end after its drain.
STOP_TIMEOUT_SECONDS = 30.0
#: How long the first grants may take; the tutorial speaks of seconds.
GRANT_SECONDS = 10.0


def read_blocks():
    """Return the fenced commands by the number of their step."""
    blocks = {}
    for section in re.split(r"^## ", TUTORIAL.read_text(), flags=re.M)[1:]:
        number = section.split(".")[0]
        blocks[number] = re.findall(r"^```\n(.*?)^```", section, re.M | re.S)
    return blocks


def environment():
    """Return an environment with the programs and a state of its own."""
    programs = str(pathlib.Path(sys.executable).parent)
    path = programs + os.pathsep + os.environ["PATH"]
    return dict(os.environ, PATH=path, PYTHONPATH=str(ROOT / "src"))


@given("the programs of the tutorial's first steps run")
def step_start(context):
    context.blocks = read_blocks()
    commands = [
        context.blocks[number][-1].strip().splitlines()[-1]
        for number in ("2", "3", "4")
    ]
    context.programs = []
    context.add_cleanup(stop_programs, context.programs)
    for command in commands:
        context.programs.append(
            subprocess.Popen(
                command.split(),
                cwd=ROOT,
                env=environment(),
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        )
        # The stand-ins listen before the entry asks for them.
        time.sleep(2.0)


def stop_programs(programs):
    for program in programs:
        program.terminate()
    for program in programs:
        program.wait(STOP_TIMEOUT_SECONDS)


@when("the other commands of the tutorial are run as written")
def step_run(context):
    setup = context.blocks["5"][0]
    context.outputs = {"5": [run_block(setup)]}
    time.sleep(GRANT_SECONDS)
    exports = "".join(
        line + "\n" for line in setup.splitlines() if line.startswith("export ")
    )
    for number in ("6", "7", "8", "9", "10", "11", "12"):
        blocks = context.blocks[number]
        context.outputs[number] = [run_block(exports + block) for block in blocks]


def run_block(block):
    done = subprocess.run(
        ["bash", "-e", "-c", block],
        cwd=ROOT,
        env=environment(),
        capture_output=True,
        text=True,
        timeout=BLOCK_TIMEOUT_SECONDS,
        check=False,
    )
    assert done.returncode == 0, f"{block}\n{done.stdout}\n{done.stderr}"
    return done.stdout + done.stderr


@then("the configuration came in force on 1 of 1 instances")
def step_in_force(context):
    text = context.outputs["5"][0]
    assert "version 1 accepted; in force on 1 of 1 instances" in text, text


@then("the model answered with 8 tokens")
def step_answered(context):
    whole, streamed = context.outputs["7"]
    assert json.loads(whole)["usage"]["completion_tokens"] == 8, whole
    assert streamed.rstrip().endswith("data: [DONE]"), streamed


@then("both reservations name the same execution")
def step_same_execution(context):
    text = context.outputs["8"][0]
    executions = re.findall(r'"execution": (\d+)', text)
    assert len(executions) == 2, text
    assert len(set(executions)) == 1, text


@then("the report on burn was written")
def step_report(context):
    page = ROOT / "burn.html"
    assert "<svg" in page.read_text()
    page.unlink()


@then("the withdrawn key is refused")
def step_refused(context):
    assert "key_withdrawn" in context.outputs["11"][0], context.outputs["11"]


@then("the entry ends by itself after the drain")
def step_ends(context):
    assert context.programs[1].wait(STOP_TIMEOUT_SECONDS) == 0
