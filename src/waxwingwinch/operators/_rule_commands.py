"""``waxwing-ctl default`` and ``waxwing-ctl exception``."""

from typing import Annotated

import typer
from attrs import asdict

from waxwingwinch.configuration import (
    SETTING_RANGES,
    ExceptionRule,
    PutException,
    RemoveException,
    Scope,
    ScopeKind,
    SetDefault,
)
from waxwingwinch.operators._publishing import fetch_configuration, publish
from waxwingwinch.operators._session import (
    JsonOption,
    ReasonOption,
    add_app,
    print_table,
    reported_errors,
    session_of,
)

SettingArgument = Annotated[
    str, typer.Argument(help="Name of the setting.", show_default=False)
]
ValueArgument = Annotated[
    float, typer.Argument(help="The value; 0 or 1 for a flag.", show_default=False)
]
ExceptionArgument = Annotated[
    str, typer.Argument(help="Name of the exception.", show_default=False)
]


def add_rule_commands(parent: typer.Typer) -> None:
    """
    Add the commands.

    :param parent: The program.
    """
    app = add_app(parent, "default", "Fleet-wide defaults.")
    app.command("set")(set_default)
    app.command("show")(show_defaults)
    app = add_app(parent, "exception", "Exceptions from the defaults.")
    app.command("add")(add_exception)
    app.command("list")(list_exceptions)
    app.command("remove")(remove_exception)


def set_default(
    context: typer.Context,
    setting: SettingArgument,
    value: ValueArgument,
    reason: ReasonOption,
    json: JsonOption = False,
) -> None:
    """
    Change a default.

    Example: waxwing-ctl default set spend_weight 3 --reason "budget"
    """
    session = session_of(context, json)
    with reported_errors(session):
        publish(session, (SetDefault(setting, value),), reason)


def show_defaults(context: typer.Context, json: JsonOption = False) -> None:
    """
    Print the defaults and their accepted values.

    Example: waxwing-ctl default show
    """
    session = session_of(context, json)
    with reported_errors(session):
        view = fetch_configuration(session)
    defaults = asdict(view.configuration.defaults)
    rows = [
        (
            name,
            str(value),
            f"{SETTING_RANGES[name].lowest:g} to {SETTING_RANGES[name].highest:g}",
        )
        for name, value in defaults.items()
    ]
    print_table(session, defaults, ("setting", "value", "accepted"), rows)


def add_exception(
    context: typer.Context,
    name: ExceptionArgument,
    setting: SettingArgument,
    value: ValueArgument,
    reason: ReasonOption,
    customer: Annotated[str, typer.Option(help="Applies to a customer.")] = "",
    model: Annotated[str, typer.Option(help="Applies to a model.")] = "",
    zone: Annotated[str, typer.Option(help="Applies to a zone.")] = "",
    json: JsonOption = False,
) -> None:
    """
    Override a default for one customer, model or availability zone.

    Example: waxwing-ctl exception add fair max_output_tokens 8192
    --customer panay-circles --reason "regional fair"
    """
    session = session_of(context, json)
    given = [
        Scope(kind, text)
        for kind, text in (
            (ScopeKind.CUSTOMER, customer),
            (ScopeKind.MODEL, model),
            (ScopeKind.ZONE, zone),
        )
        if text
    ]
    if len(given) != 1:
        raise typer.BadParameter("give one of --customer, --model and --zone")
    rule = ExceptionRule(name, given[0], setting, value, reason)
    with reported_errors(session):
        publish(session, (PutException(rule),), reason)


def list_exceptions(context: typer.Context, json: JsonOption = False) -> None:
    """
    Print the exceptions with their reasons.

    Example: waxwing-ctl exception list
    """
    session = session_of(context, json)
    with reported_errors(session):
        view = fetch_configuration(session)
    rules = list(view.configuration.exceptions.values())
    rows = [
        (
            rule.exception_id,
            f"{rule.scope.kind.value} {rule.scope.name}",
            rule.setting,
            f"{rule.value:g}",
            rule.reason,
        )
        for rule in rules
    ]
    columns = ("exception", "scope", "setting", "value", "reason")
    print_table(session, rules, columns, rows)


def remove_exception(
    context: typer.Context,
    name: ExceptionArgument,
    reason: ReasonOption,
    json: JsonOption = False,
) -> None:
    """
    Remove an exception.

    Example: waxwing-ctl exception remove fair --reason "fair is over"
    """
    session = session_of(context, json)
    with reported_errors(session):
        publish(session, (RemoveException(name),), reason)
