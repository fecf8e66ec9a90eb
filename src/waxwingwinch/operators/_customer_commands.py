"""``waxwing-ctl customer`` and ``waxwing-ctl key``."""

import secrets
from typing import Annotated

import typer

from waxwingwinch._types import CustomerId
from waxwingwinch.configuration import (
    AddKey,
    PutCustomer,
    RemoveCustomer,
    create_key,
)
from waxwingwinch.operators._publishing import (
    Spread,
    fetch_configuration,
    publish,
    wait_until_everywhere,
)
from waxwingwinch.operators._session import (
    ExitCode,
    JsonOption,
    ReasonOption,
    Session,
    add_app,
    leave,
    print_table,
    print_value,
    reported_errors,
    session_of,
)
from waxwingwinch.operators_api import WithdrawalView, WithdrawRequest

CustomerArgument = Annotated[
    str, typer.Argument(help="Name of the customer.", show_default=False)
]
KeyArgument = Annotated[
    str, typer.Argument(help="Public name of the key.", show_default=False)
]
#: Random bytes in the name of a key, if none is given.
KEY_NAME_BYTES = 4


def add_customer_commands(parent: typer.Typer) -> None:
    """
    Add the commands.

    :param parent: The program.
    """
    app = add_app(parent, "customer", "Customers and their rates.")
    app.command("list")(list_customers)
    app.command("put")(put_customer)
    app.command("remove")(remove_customer)
    app = add_app(parent, "key", "Keys of customers.")
    app.command("create")(create)
    app.command("withdraw")(withdraw)
    app.command("list")(list_keys)


def list_customers(context: typer.Context, json: JsonOption = False) -> None:
    """
    Print the customers.

    Example: waxwing-ctl customer list
    """
    session = session_of(context, json)
    with reported_errors(session):
        view = fetch_configuration(session)
    customers = sorted(
        view.configuration.customers.values(), key=lambda item: item.customer_id
    )
    rows = [
        (
            str(item.customer_id),
            f"{item.rate_per_second:g}",
            f"{item.burst_requests:g}",
            f"{item.weight:g}",
            str(len(item.keys)),
        )
        for item in customers
    ]
    columns = ("customer", "rate/s", "burst", "weight", "keys")
    print_table(session, customers, columns, rows)


def put_customer(
    context: typer.Context,
    customer: CustomerArgument,
    rate: Annotated[float, typer.Option(help="Requests a second.")],
    burst: Annotated[float, typer.Option(help="Requests above the rate.")],
    reason: ReasonOption,
    weight: Annotated[float, typer.Option(help="Share under overload.")] = 1.0,
    json: JsonOption = False,
) -> None:
    """
    Create a customer, or change it; its keys stay.

    Example: waxwing-ctl customer put cebu-circles --rate 12 --burst 24
    --reason "new group"
    """
    session = session_of(context, json)
    change = PutCustomer(CustomerId(customer), rate, burst, weight)
    with reported_errors(session):
        publish(session, (change,), reason)


def remove_customer(
    context: typer.Context,
    customer: CustomerArgument,
    reason: ReasonOption,
    json: JsonOption = False,
) -> None:
    """
    Remove a customer with its keys.

    Example: waxwing-ctl customer remove cebu-circles --reason "left"
    """
    session = session_of(context, json)
    with reported_errors(session):
        publish(session, (RemoveCustomer(CustomerId(customer)),), reason)


def create(
    context: typer.Context,
    customer: CustomerArgument,
    reason: ReasonOption,
    key_id: Annotated[
        str, typer.Option(help="Public name of the key; default: a random one.")
    ] = "",
    json: JsonOption = False,
) -> None:
    """
    Make a key and print it once; only its digest leaves this program.

    Example: waxwing-ctl key create cebu-circles --reason "new app"
    """
    session = session_of(context, json)
    key_id = key_id or f"{customer}-{secrets.token_hex(KEY_NAME_BYTES)}"
    new_key = create_key(key_id)
    # Printed before it is published: a key that nobody has is worse than a
    # printed one that was refused.
    if not session.as_json:
        print_value(session, None, [f"key_id: {key_id}", f"key: {new_key.key}"])
    change = AddKey(CustomerId(customer), new_key.record)
    with reported_errors(session):
        publish(session, (change,), reason, created_key=new_key.key)


def withdraw(
    context: typer.Context,
    key_id: KeyArgument,
    reason: ReasonOption,
    json: JsonOption = False,
) -> None:
    """
    Withdraw a key for good, also from open streams.

    Example: waxwing-ctl key withdraw cebu-1 --reason "phone lost"
    """
    session = session_of(context, json)
    with reported_errors(session):
        view = _withdraw(session, WithdrawRequest(key_id, reason))
    state = "in force everywhere" if view.is_accepted else "not in force everywhere yet"
    count = f"{len(view.confirmed)} of {view.expected_instances} instances confirmed"
    print_value(session, view, [f"{key_id} withdrawn: {count}; {state}"])
    if not view.is_accepted:
        leave(ExitCode.NOT_EVERYWHERE)


def list_keys(
    context: typer.Context,
    customer: Annotated[str, typer.Option(help="Only keys of this one.")] = "",
    json: JsonOption = False,
) -> None:
    """
    Print the public names of the keys.

    Example: waxwing-ctl key list --customer cebu-circles
    """
    session = session_of(context, json)
    with reported_errors(session):
        view = fetch_configuration(session)
    withdrawn = set(view.withdrawn_key_ids)
    rows = [
        (key.key_id, str(item.customer_id), _state(key.key_id in withdrawn))
        for item in view.configuration.customers.values()
        for key in item.keys
        if customer in ("", item.customer_id)
    ]
    value = [{"key_id": row[0], "customer_id": row[1], "state": row[2]} for row in rows]
    print_table(session, value, ("key", "customer", "state"), rows)


def _state(is_withdrawn: bool) -> str:
    return "withdrawn" if is_withdrawn else "valid"


def _withdraw(session: Session, request: WithdrawRequest) -> WithdrawalView:
    """Ask until the withdrawal is accepted or the time is over."""
    latest = [session.client.post("withdrawals", request, WithdrawalView)]

    def count() -> Spread:
        # Asking again is harmless, and reaches an entry that doesn't know
        # the withdrawal if the first one is gone.
        latest.append(session.client.post("withdrawals", request, WithdrawalView))
        view = latest[-1]
        expected = view.expected_instances
        return Spread(expected if view.is_accepted else len(view.confirmed), expected)

    if not latest[-1].is_accepted:
        wait_until_everywhere(session, f"withdrawal of {request.key_id}", count)
    return latest[-1]
