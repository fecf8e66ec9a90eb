"""The program ``waxwing-ctl``."""

from typing import Annotated

import typer

from waxwingwinch.operators._client import OperatorClient
from waxwingwinch.operators._config_commands import add_config_commands
from waxwingwinch.operators._customer_commands import add_customer_commands
from waxwingwinch.operators._request_command import add_request_command
from waxwingwinch.operators._rule_commands import add_rule_commands
from waxwingwinch.operators._session import JsonOption, Session
from waxwingwinch.operators._status_commands import add_status_commands
from waxwingwinch.operators._trace_command import add_trace_command

#: How long commands wait until a change is in force everywhere.
WAIT_SECONDS = 15.0

HELP = """
Steer the system: configuration, customers, keys, defaults and exceptions.

Exit codes: 0 done, 1 refused or findings, 2 wrong usage, 3 no entry answered,
4 accepted but not in force everywhere in time.

Example: waxwing-ctl --entry 127.0.0.1:8000 --entry 127.0.0.2:8000 status
"""


def make_app() -> typer.Typer:
    """Build the program."""
    app = typer.Typer(help=HELP, no_args_is_help=True, add_completion=False)
    app.callback()(read_options)
    add_config_commands(app)
    add_customer_commands(app)
    add_rule_commands(app)
    add_status_commands(app)
    add_trace_command(app)
    add_request_command(app)
    return app


def read_options(
    context: typer.Context,
    entry: Annotated[
        list[str] | None,
        typer.Option(
            envvar="WAXWING_ENTRY",
            help="Address of an entry, as host:port; repeat it for more.",
        ),
    ] = None,
    token: Annotated[
        str,
        typer.Option(envvar="WAXWING_TOKEN", help="The operator's token."),
    ] = "",
    wait: Annotated[
        float, typer.Option(help="Seconds to wait until a change is in force.")
    ] = WAIT_SECONDS,
    json: JsonOption = False,
) -> None:
    """
    Read the options of the program.

    :param context: Context of the program.
    :param entry: Entries.
    :param token: The operator's token.
    :param wait: How long to wait for a change.
    :param json: True to print JSON.
    """
    client = OperatorClient(tuple(entry or ()), token)
    context.obj = Session(client, wait, json)


def main() -> None:
    """Run the program."""
    make_app()()
