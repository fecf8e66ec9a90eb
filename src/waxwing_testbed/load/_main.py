"""The command line of ``waxwing-load``."""

import pathlib
import sys
from typing import Annotated

import typer
from rich.console import Console

from waxwing_testbed.load._options import OptionsInvalid, Targets, parse_targets
from waxwing_testbed.load._run import LoadPlan, check_load, run_load
from waxwing_testbed.load._summary import print_summary, summarize
from waxwing_testbed.load._traffic import ChatMix, Phase, PlainMix

#: Exit status if a promise broke.
EXIT_VIOLATIONS = 1
#: Exit status for malformed options.
EXIT_USAGE = 2
#: Width of the table when it doesn't go to a terminal.
PIPE_COLUMNS = 200


def run(
    entry: Annotated[list[str], typer.Option(help="An entry, as host:port; repeat.")],
    key: Annotated[list[str], typer.Option(help="customer=key; repeat.")],
    model: Annotated[str, typer.Option(help="Model of the chat calls.")],
    seconds: Annotated[float, typer.Option(min=0.1, help="Length.")] = 10.0,
    rate: Annotated[
        float, typer.Option(min=0.01, help="Calls a second of each customer.")
    ] = 2.0,
    seed: Annotated[int, typer.Option(help="Same seed, same calls.")] = 0,
    history: Annotated[
        pathlib.Path | None, typer.Option(help="Append each try to it as JSON.")
    ] = None,
    zone: Annotated[str, typer.Option(help="Availability zone of the callers.")] = "",
    prompt_words: Annotated[int, typer.Option(min=1, help="Mean.")] = 200,
    output_tokens: Annotated[int, typer.Option(min=1, help="Mean.")] = 30,
    order_path: Annotated[
        str, typer.Option(help="Route of orders; with it, plain calls are sent.")
    ] = "",
    payment_path: Annotated[str, typer.Option(help="Route of payments.")] = "",
    read_path: Annotated[str, typer.Option(help="Route of reads.")] = "",
    plain_ratio: Annotated[
        float, typer.Option(min=0, max=1, help="Share of plain calls.")
    ] = 0.3,
    limit: Annotated[
        list[str] | None,
        typer.Option(help="customer=rate,burst to check from the calls; repeat."),
    ] = None,
    tries: Annotated[int, typer.Option(min=1, help="Tries of a safe call.")] = 3,
) -> None:
    """
    Send calls of several customers, and check what came of them.

    Exit codes: 0 all checked promises held, 1 one broke, 2 wrong usage.
    """
    targets = _targets_or_exit(entry, key, limit or [])
    plain = _plain_mix(order_path, payment_path, read_path)
    chat = ChatMix(model, prompt_words, output_tokens)
    phase = Phase(seconds, rate, chat, plain, plain_ratio)
    plan = LoadPlan(targets, phase, seed, zone, tries)
    events = run_load(plan, history)
    width = None if sys.stdout.isatty() else PIPE_COLUMNS
    print_summary(summarize(events), Console(width=width, highlight=False))
    violations = check_load(events, targets.limits)
    for violation in violations:
        print(f"broken: {violation.promise}: {violation.detail}")
    if violations:
        raise typer.Exit(EXIT_VIOLATIONS)
    checked = "whole answers, same answer under one idempotency key"
    rates = f", rates of {len(targets.limits)} customers" if targets.limits else ""
    print(f"checked and held: {checked}{rates}")


def _targets_or_exit(entries: list[str], keys: list[str], limits: list[str]) -> Targets:
    try:
        return parse_targets(entries, keys, limits)
    except OptionsInvalid as group:
        for finding in group.exceptions:
            print(finding, file=sys.stderr)
        raise typer.Exit(EXIT_USAGE) from group


def _plain_mix(order_path: str, payment_path: str, read_path: str) -> PlainMix | None:
    paths = (order_path, payment_path, read_path)
    if not any(paths):
        return None
    if not all(paths):
        problem = "--order-path, --payment-path and --read-path go together"
        raise typer.BadParameter(problem)
    return PlainMix(*paths)


def main() -> None:
    """Run the program."""
    application = typer.Typer(add_completion=False)
    application.command()(run)
    application()
