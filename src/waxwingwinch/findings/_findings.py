"""Findings about a settings file, each with its place."""

from collections.abc import Sequence
from pathlib import Path

from attrs import frozen

from waxwingwinch._exceptions import WaxwingError


@frozen
class Place:
    """
    A place in a file.

    :param line: Counted from 1.
    :param column: Counted from 1.
    """

    line: int
    column: int


class SettingFinding(WaxwingError):
    """
    One thing that is wrong with a settings file.

    :param file: The file.
    :param line: Line, counted from 1.
    :param column: Column, counted from 1.
    :param key: Dotted path of the key; empty for the file as a whole.
    :param problem: What is wrong.
    :param suggestion: What was probably meant.
    """

    def __init__(
        self,
        file: Path,
        line: int,
        column: int,
        key: str,
        problem: str,
        suggestion: str | None = None,
    ) -> None:
        super().__init__(problem)
        #: The file.
        self.file = file
        #: Line, counted from 1.
        self.line = line
        #: Column, counted from 1.
        self.column = column
        #: Dotted path of the key.
        self.key = key
        #: What is wrong.
        self.problem = problem
        #: What was probably meant.
        self.suggestion = suggestion

    def __str__(self) -> str:
        subject = f"{self.key}: " if self.key else ""
        text = f"{self.file}:{self.line}:{self.column}: {subject}{self.problem}"
        if self.suggestion is None:
            return text
        return f"{text} (did you mean {self.suggestion!r}?)"


class SettingsInvalid(ExceptionGroup[SettingFinding]):
    """All findings about one file."""

    def derive(self, excs: Sequence[SettingFinding]) -> "SettingsInvalid":  # type: ignore[override]
        """
        Make a group of the same class.

        :param excs: Some of the findings.
        """
        return SettingsInvalid(self.message, excs)


def format_findings(group: SettingsInvalid) -> str:
    """
    Return the findings one a line, in the order of the file.

    :param group: The findings.
    """
    findings = [item for item in group.exceptions if isinstance(item, SettingFinding)]
    findings.sort(key=lambda finding: (finding.line, finding.column))
    return "\n".join(str(finding) for finding in findings)
