"""``waxwing-ctl trace``."""

import datetime
import json as json_format
import pathlib
from collections.abc import Iterator
from typing import Annotated, Any

import typer

from waxwingwinch.observability import (
    LoggedLine,
    RequestTrace,
    read_log,
    trace_request,
)
from waxwingwinch.operators._session import (
    ExitCode,
    JsonOption,
    Session,
    print_table,
    print_value,
    session_of,
)


def add_trace_command(parent: typer.Typer) -> None:
    """
    Add the command.

    :param parent: The program.
    """
    parent.command("trace")(trace)


def trace(
    context: typer.Context,
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Annotated[
        list[pathlib.Path],
        typer.Argument(
            help="Saved output of the instances.",
            exists=True,
            dir_okay=False,
            readable=True,
        ),
    ],
    json: JsonOption = False,
) -> None:
    """
    Print the lines of a request in the logs of all processes, in order, and
    what the processes that handled it believed then.

    Example: waxwing-ctl trace 9c41d07be2a35f68 instance-1.log instance-2.log
    """
    session = session_of(context, json)
    found = trace_request(request_id, _read(logs))
    if not found.lines:
        print_value(session, found, [f"no line tells of request {request_id}"])
        raise typer.Exit(ExitCode.REFUSED)
    if session.as_json:
        print_value(session, found, ())
        return
    print_value(session, found, ["believed before:"])
    _print_lines(session, found, found.beliefs)
    print_value(session, found, ["", f"request {request_id}:"])
    _print_lines(session, found, found.lines)
    if found.left_out:
        print_value(
            session, found, ["", f"{found.left_out} lines were left out before"]
        )


def _read(logs: list[pathlib.Path]) -> Iterator[LoggedLine]:
    for path in logs:
        with path.open(encoding="utf-8", errors="replace") as file:
            yield from read_log(path.name, file)


def _print_lines(
    session: Session, found: RequestTrace, lines: tuple[LoggedLine, ...]
) -> None:
    rows = [
        (
            _time_text(line.wall_seconds),
            line.source,
            line.message_type,
            _fields_text(line.fields),
        )
        for line in lines
    ]
    print_table(session, found, ("time", "instance", "line", ""), rows)


def _fields_text(fields: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={_text(value)}"
        for name, value in fields.items()
        if name != "request_id"
    )


def _text(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else json_format.dumps(value)


def _time_text(wall_seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(wall_seconds, datetime.UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]
