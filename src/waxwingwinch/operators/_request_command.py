"""``waxwing-ctl explain-request``."""

import json as json_format
from http import HTTPStatus
from typing import Annotated, Any
from urllib.parse import urlencode

import typer

from waxwingwinch._types import Address
from waxwingwinch.http import AnswerMissing, HttpRequest, NotSent, exchange
from waxwingwinch.operators._session import (
    ExitCode,
    JsonOption,
    Session,
    print_table,
    print_value,
    session_of,
)

#: How long an instance may take to answer.
TIMEOUT_SECONDS = 5.0


def add_request_command(parent: typer.Typer) -> None:
    """
    Add the command.

    :param parent: The program.
    """
    parent.command("explain-request")(explain_request)


def explain_request(
    context: typer.Context,
    host: Annotated[str, typer.Argument(help="Host name of the request.")],
    path: Annotated[str, typer.Argument(help="Path of the request.")],
    instance: Annotated[
        str,
        typer.Option(help="Metrics address of a gateway instance, as host:port."),
    ],
    customer: Annotated[str, typer.Option(help="The request's customer.")] = "",
    prompt: Annotated[
        str, typer.Option(help="Parts of the prompt, as ID:TOKENS,ID:TOKENS.")
    ] = "",
    json: JsonOption = False,
) -> None:
    """
    Print where a request would go now, and why, without sending it.

    Example: waxwing-ctl explain-request shop.example /a/ --instance i1:7601
    """
    session = session_of(context, json)
    query = {"host": host, "path": path, "customer": customer, "prompt": prompt}
    explanation = _ask(session, instance, {k: v for k, v in query.items() if v})
    if session.as_json:
        print_value(session, explanation, ())
    else:
        _print(session, explanation)
    if explanation["outcome"] != "relayed":
        raise typer.Exit(ExitCode.REFUSED)


def _ask(session: Session, instance: str, query: dict[str, str]) -> dict[str, Any]:
    try:
        address = Address.parse(instance)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error
    request = HttpRequest(
        "GET",
        f"/explain?{urlencode(query)}",
        (("Host", instance),),
    )
    try:
        reply = exchange(address, request, TIMEOUT_SECONDS)
    except (NotSent, AnswerMissing) as error:
        session.console.print(f"{instance}: {error}")
        raise typer.Exit(ExitCode.UNREACHABLE) from error
    if reply.status != HTTPStatus.OK:
        text = reply.body.decode(errors="replace")
        session.console.print(f"{instance} answered {reply.status}: {text}")
        raise typer.Exit(ExitCode.REFUSED)
    explanation: dict[str, Any] = json_format.loads(reply.body)
    return explanation


def _print(session: Session, explanation: dict[str, Any]) -> None:
    ages = explanation["ages"]
    entries = ages["entries_seconds"]
    entries_text = "never read" if entries is None else f"{entries:.1f} s old"
    print_value(
        session,
        None,
        [
            f"route {explanation['route']}: {explanation['outcome']}",
            f"configuration {ages['configuration_version']}, entries of upstreams "
            f"{entries_text}, loads of {ages['instances_heard']} other instances",
        ],
    )
    for target in explanation["targets"]:
        expected = target["expected_seconds"]
        wait = "" if expected is None else f", first event in {expected:.2f} s"
        chosen = " then ".join(target["upstream_ids"]) or "none"
        line = f"{target['service']}: {target['outcome']}, {chosen}{wait}"
        print_value(session, None, ["", line])
        columns = ("upstream", "zone", "role", "running", "waiting", "cached", "")
        rows = [
            (
                view["upstream_id"],
                view["zone"],
                view["role"] or "",
                str(view["running"]),
                str(view["waiting_tokens"]),
                str(view["cached_tokens"]),
                view["withheld"] or ("cold" if view["is_cold"] else ""),
            )
            for view in target["upstreams"]
        ]
        print_table(session, None, columns, rows)
