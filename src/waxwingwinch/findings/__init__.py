"""What is wrong with a settings file, with its place."""

from waxwingwinch.findings._findings import (
    Place,
    SettingFinding,
    SettingsInvalid,
    format_findings,
)

__all__ = ["Place", "SettingFinding", "SettingsInvalid", "format_findings"]
