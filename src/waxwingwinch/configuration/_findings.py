"""Findings about a configuration or a change of one."""

import difflib
from collections.abc import Iterable

from attrs import frozen


@frozen
class Finding:
    """
    One thing that is wrong.

    :param place: Where, as a dotted path such as ``customers.tahi.weight``.
    :param problem: What is wrong.
    :param suggestion: The name that was probably meant.
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
    Return the known name that is most like a misspelt one.

    :param name: The misspelt name.
    :param known: All names that would be right.
    """
    matches = difflib.get_close_matches(name, list(known), n=1)
    return matches[0] if matches else None
