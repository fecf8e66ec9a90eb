"""Publishing changes and waiting until they are in force."""

import time
import uuid
from collections.abc import Callable

from attrs import frozen
from rich.status import Status

from waxwingwinch.configuration import Change, wrap_change
from waxwingwinch.operators._client import AllUnreachable
from waxwingwinch.operators._session import ExitCode, Session, leave, print_value
from waxwingwinch.operators_api import (
    ChangeRequest,
    ConfigurationView,
    PublishedView,
    StatusView,
)

#: Pause between two questions while waiting.
POLL_SECONDS = 0.3


@frozen
class Spread:
    """
    On how many instances something is in force.

    :param in_force: How many.
    :param expected: Of how many.
    """

    in_force: int
    expected: int

    @property
    def is_everywhere(self) -> bool:
        """True if no expected instance is missing."""
        return self.in_force >= self.expected


@frozen
class PublishResult:
    """
    What ``--json`` prints after a change.

    :param version: The version that the change made.
    :param in_force: On how many instances it is in force.
    :param expected: Of how many.
    :param key: The key that was made, if one was.
    """

    version: int
    in_force: int
    expected: int
    key: str | None = None


def fetch_configuration(session: Session) -> ConfigurationView:
    """
    Return the configuration in force.

    :param session: The session.
    """
    return session.client.get("configuration", ConfigurationView)


def publish(
    session: Session,
    changes: tuple[Change, ...],
    reason: str,
    supersedes_version: int | None = None,
    created_key: str | None = None,
) -> None:
    """
    Publish changes, wait until they are in force, and print the result.

    :param session: The session.
    :param changes: What changes.
    :param reason: Why.
    :param supersedes_version: The version they were made for; None for the
        one in force.
    :param created_key: A key for ``--json`` to print.
    """
    if supersedes_version is None:
        supersedes_version = fetch_configuration(session).version
    request = ChangeRequest(
        supersedes_version,
        uuid.uuid4().hex,
        reason,
        tuple(wrap_change(change) for change in changes),
    )
    published = session.client.post("changes", request, PublishedView)
    spread = wait_until_everywhere(
        session,
        f"version {published.version}",
        lambda: count_version(session, published.version),
    )
    result = PublishResult(
        published.version, spread.in_force, spread.expected, created_key
    )
    line = (
        f"version {published.version} accepted; "
        f"in force on {spread.in_force} of {spread.expected} instances"
    )
    print_value(session, result, [line])
    if not spread.is_everywhere:
        leave(ExitCode.NOT_EVERYWHERE)


def count_version(session: Session, version: int) -> Spread:
    """
    Count the instances on which a version is in force.

    :param session: The session.
    :param version: The version.
    """
    status = session.client.get("status", StatusView)
    in_force = [
        instance
        for instance in status.instances
        if instance.configuration_version >= version
    ]
    return Spread(len(in_force), status.expected_instances)


def wait_until_everywhere(
    session: Session, subject: str, count: Callable[[], Spread]
) -> Spread:
    """
    Ask again and again, showing the progress.

    :param session: The session.
    :param subject: What is to be in force.
    :param count: Asks once.
    :returns: The last answer, whether it is everywhere or not.
    """
    deadline_seconds = session.clock.now_seconds() + session.wait_seconds
    spread = Spread(0, 1)
    with Status(f"{subject} accepted", console=session.console) as status:
        while True:
            try:
                spread = count()
            except AllUnreachable:
                # The change is accepted; silence only keeps the count.
                pass
            text = f"in force on {spread.in_force} of {spread.expected} instances"
            status.update(f"{subject}: {text}")
            is_over = session.clock.now_seconds() >= deadline_seconds
            if spread.is_everywhere or is_over:
                return spread
            time.sleep(POLL_SECONDS)
