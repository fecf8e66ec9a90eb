"""Problems found in a configuration or in a change."""

import difflib
from collections.abc import Iterable

from attrs import frozen


@frozen
class Finding:
    """
    A problem in a configuration or in a change.

    :param place: Dotted path of the value, such as
        ``customers.tahi.weight``.
    :param problem: Description of the problem.
    :param suggestion: Known name closest to an unknown one; None if there is
        none.
    """

    place: str
    problem: str
    suggestion: str | None = None

    def __str__(self) -> str:
        text = f"{self.place}: {self.problem}"
        if self.suggestion is None:
            return text
        return f"{text} (did you mean {self.suggestion!r}?)"


def closest_name(name: str, known: Iterable[str]) -> str | None:
    """
    Return the known name most similar to a misspelt name; None if none is.

    :param name: The misspelt name.
    :param known: All valid names.
    """
    matches = difflib.get_close_matches(name, list(known), n=1)
    return matches[0] if matches else None
