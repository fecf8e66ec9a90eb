"""Fetching snapshots from live entries."""

from collections.abc import Sequence

from attrs import frozen

from waxwingwinch.operators import AllUnreachable, OperatorClient, RequestRefused
from waxwingwinch.operators_api import MetricsView

#: Path below ``/operator/``.
SNAPSHOT_PATH = "metrics-snapshot"


@frozen
class FetchedRound:
    """
    Snapshots of one round.

    :param views: One for each entry that answered.
    :param problems: One for each entry that did not.
    """

    views: tuple[MetricsView, ...]
    problems: tuple[str, ...]


def fetch_round(entries: Sequence[str], token: str) -> FetchedRound:
    """
    Ask each entry once.

    :param entries: Addresses.
    :param token: The operator's token.
    """
    views: list[MetricsView] = []
    problems: list[str] = []
    for entry in entries:
        try:
            client = OperatorClient((entry,), token)
            views.append(client.get(SNAPSHOT_PATH, MetricsView))
        except AllUnreachable as group:
            problems.extend(str(error) for error in group.exceptions)
        except RequestRefused as error:
            problems.append(f"{entry}: {error}")
    return FetchedRound(tuple(views), tuple(problems))
