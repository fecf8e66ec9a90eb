"""``waxwing-ctl config``."""

from pathlib import Path
from typing import Annotated

import typer

from waxwingwinch.configuration import (
    Accepted,
    Configuration,
    ConfigurationChange,
    ConfigurationState,
    Finding,
    ReplaceConfiguration,
    apply_changes,
    wrap_change,
)
from waxwingwinch.findings import SettingFinding, SettingsInvalid
from waxwingwinch.operators._publishing import fetch_configuration, publish
from waxwingwinch.operators._session import (
    ExitCode,
    JsonOption,
    ReasonOption,
    Session,
    add_app,
    leave,
    print_findings,
    print_table,
    print_value,
    reported_errors,
    session_of,
)
from waxwingwinch.operators_api import HistoryView, diff_configurations
from waxwingwinch.settings import load_configuration, write_configuration

FileArgument = Annotated[
    Path, typer.Argument(help="A configuration file.", show_default=False)
]
SupersedesOption = Annotated[
    int | None,
    typer.Option(help="The version the file was made for; default: in force now."),
]


def add_config_commands(parent: typer.Typer) -> None:
    """
    Add the commands.

    :param parent: The program.
    """
    app = add_app(parent, "config", "The configuration as a whole.")
    app.command("check")(check)
    app.command("publish")(publish_file)
    app.command("show")(show)
    app.command("diff")(diff)
    app.command("history")(history)


def check(context: typer.Context, file: FileArgument, json: JsonOption = False) -> None:
    """
    Check a file without asking any entry.

    Example: waxwing-ctl config check tahi.yaml
    """
    session = session_of(context, json)
    configuration = _load(session, file)
    counts = (
        f"{len(configuration.customers)} customers, {len(configuration.models)} "
        f"models, {len(configuration.routes)} routes, "
        f"{len(configuration.exceptions)} exceptions"
    )
    print_value(session, {"findings": []}, [f"{file} is valid: {counts}"])


def publish_file(
    context: typer.Context,
    file: FileArgument,
    reason: ReasonOption,
    supersedes: SupersedesOption = None,
    json: JsonOption = False,
) -> None:
    """
    Publish a file as the whole configuration; keys in force stay.

    Example: waxwing-ctl config publish tahi.yaml --reason "June prices"
    """
    session = session_of(context, json)
    configuration = _load(session, file)
    with reported_errors(session):
        present = fetch_configuration(session)
        result = _replaced(present.configuration, configuration)
        lines = diff_configurations(present.configuration, result)
        if not lines and supersedes in (None, present.version):
            value = {"version": present.version, "changes": []}
            line = f"version {present.version} is the same; nothing to publish"
            print_value(session, value, [line])
            return
        if not session.as_json:
            print_value(session, None, lines)
        version = present.version if supersedes is None else supersedes
        publish(session, (ReplaceConfiguration(configuration),), reason, version)


def show(context: typer.Context, json: JsonOption = False) -> None:
    """
    Print the configuration in force as a file that can be published.

    Example: waxwing-ctl config show > tahi.yaml
    """
    session = session_of(context, json)
    with reported_errors(session):
        view = fetch_configuration(session)
    text = write_configuration(view.configuration)
    print_value(session, view, [f"# version {view.version}", text.rstrip()])


def diff(context: typer.Context, file: FileArgument, json: JsonOption = False) -> None:
    """
    Print what publishing a file would change.

    Example: waxwing-ctl config diff tahi.yaml
    """
    session = session_of(context, json)
    configuration = _load(session, file)
    with reported_errors(session):
        present = fetch_configuration(session)
    result = _replaced(present.configuration, configuration)
    lines = diff_configurations(present.configuration, result)
    value = {"version": present.version, "changes": list(lines)}
    print_value(session, value, lines or ["no difference"])


def history(context: typer.Context, json: JsonOption = False) -> None:
    """
    Print the accepted changes that the answering entry has read.

    Example: waxwing-ctl config history
    """
    session = session_of(context, json)
    with reported_errors(session):
        view = session.client.get("history", HistoryView)
    rows = [
        (str(item.version), item.operator, item.reason, "; ".join(item.summary))
        for item in view.entries
    ]
    print_table(session, view, ("version", "operator", "reason", "changes"), rows)


def _load(session: Session, file: Path) -> Configuration:
    try:
        return load_configuration(file)
    except SettingsInvalid as group:
        found = [item for item in group.exceptions if isinstance(item, SettingFinding)]
        found.sort(key=lambda item: (item.line, item.column))
        findings = [_located(item) for item in found]
        print_findings(session, findings)
        leave(ExitCode.REFUSED)


def _located(item: SettingFinding) -> Finding:
    place = f"{item.file}:{item.line}:{item.column}"
    place = f"{place}: {item.key}" if item.key else place
    return Finding(place, item.problem, item.suggestion)


def _replaced(present: Configuration, document: Configuration) -> Configuration:
    """Return what readers would make of a document."""
    items = (wrap_change(ReplaceConfiguration(document)),)
    change = ConfigurationChange(present.version, "-", "-", "-", items)
    match apply_changes(ConfigurationState(present), change):
        case Accepted(state):
            return state.configuration
        case _:
            return document
