"""Findings about invalid settings files, with their positions."""

from collections.abc import Sequence
from pathlib import Path

from attrs import frozen

from waxwingwinch._exceptions import WaxwingError


@frozen
class FilePosition:
    """
    A position in a file.

    :param line: Line, counted from 1.
    :param column: Column, counted from 1.
    """

    line: int
    column: int


class SettingFinding(WaxwingError):
    """
    One problem in a settings file.

    :param file: The settings file.
    :param line: Line, counted from 1.
    :param column: Column, counted from 1.
    :param key: Dotted path of the key; empty if the whole file is concerned.
    :param problem: Description of the problem.
    :param suggestion: The value or key that was probably meant, if known.
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
        #: The settings file.
        self.file = file
        #: Line, counted from 1.
        self.line = line
        #: Column, counted from 1.
        self.column = column
        #: Dotted path of the key; empty if the whole file is concerned.
        self.key = key
        #: Description of the problem.
        self.problem = problem
        #: The value or key that was probably meant; None if unknown.
        self.suggestion = suggestion

    def __str__(self) -> str:
        subject = f"{self.key}: " if self.key else ""
        text = f"{self.file}:{self.line}:{self.column}: {subject}{self.problem}"
        if self.suggestion is None:
            return text
        return f"{text} (did you mean {self.suggestion!r}?)"


class SettingsInvalid(ExceptionGroup[SettingFinding]):
    """Error that groups all findings about one settings file."""

    def derive(self, excs: Sequence[SettingFinding]) -> "SettingsInvalid":  # type: ignore[override]
        """
        Return a group of the same class, as ``split`` and ``subgroup`` need.

        :param excs: The findings of the new group.
        """
        return SettingsInvalid(self.message, excs)


def format_findings(group: SettingsInvalid) -> str:
    """
    Return the findings, one per line, ordered by their position in the file.

    :param group: The group of findings.
    """
    findings = [item for item in group.exceptions if isinstance(item, SettingFinding)]
    findings.sort(key=lambda finding: (finding.line, finding.column))
    return "\n".join(str(finding) for finding in findings)
