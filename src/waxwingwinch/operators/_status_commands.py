"""``waxwing-ctl status``, ``explain`` and ``drain``."""

import datetime
from typing import Annotated

import typer

from waxwingwinch.operators._session import (
    JsonOption,
    print_table,
    print_value,
    reported_errors,
    session_of,
)
from waxwingwinch.operators_api import (
    DrainedView,
    InstanceView,
    ReasonsView,
    StatusView,
)


def add_status_commands(parent: typer.Typer) -> None:
    """
    Add the commands.

    :param parent: The program.
    """
    parent.command("status")(status)
    parent.command("explain")(explain)
    parent.command("drain")(drain)


def status(context: typer.Context, json: JsonOption = False) -> None:
    """
    Print the instances as the answering entry sees them.

    Example: waxwing-ctl status
    """
    session = session_of(context, json)
    with reported_errors(session):
        view = session.client.get("status", StatusView)
    rows = [_instance_row(item, view) for item in view.instances]
    columns = ("instance", "zone", "address", "version", "withdrawals", "heard", "")
    print_table(session, view, columns, rows)
    if session.as_json:
        return
    health = ", ".join(f"{name} {state.value}" for name, state in view.health.items())
    known = f"{len(view.instances)} of {view.expected_instances} instances known"
    print_value(session, None, [f"{known} to {view.answered_by}", f"health: {health}"])


def explain(
    context: typer.Context,
    name: Annotated[
        str,
        typer.Argument(
            help="A request id, upstream, customer or duty.", show_default=False
        ),
    ],
    json: JsonOption = False,
) -> None:
    """
    Print why something was decided, from the memory of the answering entry
    and of the holders of duties.

    Example: waxwing-ctl explain engine-4
    """
    session = session_of(context, json)
    with reported_errors(session):
        view = session.client.get("reasons", ReasonsView, name)
    lines = [
        f"{_time_text(item.wall_seconds)} {item.kind.value} {item.subject}: {item.text}"
        for item in view.reasons
    ]
    print_value(session, view, lines or [f"nothing is kept about {name}"])


def drain(context: typer.Context, json: JsonOption = False) -> None:
    """
    Begin the planned stop of the one entry given by --entry.

    Example: waxwing-ctl --entry 127.0.0.1:8000 drain
    """
    session = session_of(context, json)
    if len(session.client.entries) != 1:
        raise typer.BadParameter("give exactly one --entry, the one to drain")
    with reported_errors(session):
        view = session.client.post("drain", None, DrainedView)
    print_value(session, view, [f"{view.instance_id} is draining"])


def _instance_row(item: InstanceView, view: StatusView) -> tuple[str, ...]:
    is_same = item.withdrawals_digest == view.withdrawals_digest
    return (
        str(item.instance_id),
        str(item.zone),
        str(item.entry_address),
        str(item.configuration_version),
        "same" if is_same else "differ",
        _silence_text(item.silence_seconds),
        "draining" if item.is_draining else "",
    )


def _silence_text(silence_seconds: float | None) -> str:
    return "never" if silence_seconds is None else f"{silence_seconds:.1f} s ago"


def _time_text(wall_seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(wall_seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%SZ")
