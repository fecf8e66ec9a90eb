"""Findings about invalid settings files, with their positions."""

from waxwingwinch.findings._findings import (
    FilePosition,
    SettingFinding,
    SettingsInvalid,
    format_findings,
)

__all__ = ["FilePosition", "SettingFinding", "SettingsInvalid", "format_findings"]
