"""What all commands share: options, output and exit codes."""

import enum
import json
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Annotated, Any, NoReturn

import typer
from attrs import define, field
from rich.console import Console
from rich.table import Table

from waxwingwinch._exceptions import Outcome
from waxwingwinch.configuration import Finding
from waxwingwinch.kernel import Clock, SystemClock
from waxwingwinch.operators._client import (
    AllUnreachable,
    OperatorClient,
    RequestRefused,
)
from waxwingwinch.settings import make_strict_converter

_CONVERTER = make_strict_converter()


class ExitCode(enum.IntEnum):
    """What the exit status tells."""

    OK = 0
    #: The request was refused, or a check has findings.
    REFUSED = 1
    USAGE = 2
    #: No entry answered.
    UNREACHABLE = 3
    #: Accepted, but not in force everywhere in time.
    NOT_EVERYWHERE = 4


#: The option that each command takes.
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print one JSON document instead of text.")
]
#: The reason that each change needs.
ReasonOption = Annotated[
    str, typer.Option("--reason", "-r", help="Why; kept with the change.")
]


@define
class Session:
    """
    One run of the program.

    :param client: Asks the entries.
    :param wait_seconds: How long to wait until a change is in force
        everywhere.
    :param as_json: True to print JSON.
    :param clock: Source of the present time.
    :param console: Where text for people goes.
    """

    client: OperatorClient
    wait_seconds: float
    as_json: bool = False
    clock: Clock = field(factory=SystemClock)
    console: Console = field(factory=lambda: Console(stderr=True))


def session_of(context: typer.Context, as_json: bool) -> Session:
    """
    Return the session of a command.

    :param context: Context of the command.
    :param as_json: The command's own ``--json``.
    """
    session = context.find_object(Session)
    if session is None:
        raise RuntimeError("the program's options were not read")
    session.as_json = session.as_json or as_json
    return session


def need_entries(session: Session) -> None:
    """
    End with a usage error if no entry is given.

    :param session: The session.
    """
    if not session.client.entries:
        raise typer.BadParameter("give an entry by --entry or WAXWING_ENTRY")


def print_value(session: Session, value: Any, lines: Sequence[str]) -> None:
    """
    Print a result.

    :param session: The session.
    :param value: What ``--json`` prints: an attrs instance or plain data.
    :param lines: What is printed otherwise.
    """
    if session.as_json:
        print(json.dumps(_CONVERTER.unstructure(value), indent=2))
        return
    for line in lines:
        print(line)


def print_table(
    session: Session, value: Any, columns: Sequence[str], rows: Sequence[Sequence[str]]
) -> None:
    """
    Print a result as a table.

    :param session: The session.
    :param value: What ``--json`` prints.
    :param columns: Headings.
    :param rows: Cells.
    """
    if session.as_json:
        print_value(session, value, ())
        return
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*row)
    # A pipe gets whole lines whatever the width of the terminal.
    width = None if sys.stdout.isatty() else 200
    Console(width=width).print(table)


def print_findings(session: Session, findings: Sequence[Finding]) -> None:
    """
    Print why something was refused.

    :param session: The session.
    :param findings: The findings.
    """
    if session.as_json:
        print_value(session, {"findings": [_plain(item) for item in findings]}, ())
        return
    for finding in findings:
        print(finding, file=sys.stderr)


def leave(code: ExitCode) -> NoReturn:
    """
    End the program.

    :param code: The exit status.
    """
    raise typer.Exit(int(code))


@contextmanager
def reported_errors(session: Session) -> Iterator[None]:
    """
    Print what entries refuse or fail to answer, and end the program.

    :param session: The session.
    """
    need_entries(session)
    try:
        yield
    except RequestRefused as error:
        print_findings(session, error.findings)
        leave(ExitCode.REFUSED)
    except AllUnreachable as group:
        findings = [Finding("entry", str(error)) for error in group.exceptions]
        if group.outcome is Outcome.UNKNOWN:
            hint = "an action may have taken effect; see `waxwing-ctl config history`"
            findings.append(Finding("outcome", hint))
        print_findings(session, findings)
        leave(ExitCode.UNREACHABLE)


def add_app(parent: typer.Typer, name: str, text: str) -> typer.Typer:
    """
    Add a group of commands.

    :param parent: Where to add it.
    :param name: Its name.
    :param text: Its help.
    """
    app = typer.Typer(help=text, no_args_is_help=True)
    parent.add_typer(app, name=name)
    return app


def _plain(finding: Finding) -> dict[str, Any]:
    plain: dict[str, Any] = _CONVERTER.unstructure(finding)
    return plain
