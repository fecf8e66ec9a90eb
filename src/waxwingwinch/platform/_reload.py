"""Reloading the settings file on SIGHUP and by polling."""

import threading
from collections.abc import Callable
from pathlib import Path

from waxwingwinch.findings import SettingsInvalid, format_findings
from waxwingwinch.gateway import (
    SettingsRejected,
    SettingsReloaded,
    SettingsReloadRequested,
    SettingsUnreadable,
)
from waxwingwinch.platform._settings import InstanceSettings, parse_instance_settings

#: Interval between checks of the file, as it may change without a SIGHUP.
FILE_POLL_INTERVAL_SECONDS = 1.0


class SettingsReloader:
    """
    Reloads the settings of a running process in a background thread.

    If the file is unreadable or invalid, the current settings stay in force.

    :param path: The settings file.
    :param apply: Called with the new settings after each valid change.
    """

    def __init__(self, path: Path, apply: Callable[[InstanceSettings], None]) -> None:
        self._path = path
        self._apply = apply
        self._text = path.read_text()
        self._poll_requested = threading.Event()
        self._thread = threading.Thread(target=self._run, name="settings", daemon=True)

    def start(self) -> None:
        """Start the thread that polls the file."""
        self._thread.start()

    def request_poll(self) -> None:
        """Request an immediate poll; may be called from a signal handler."""
        self._poll_requested.set()

    def poll(self) -> bool:
        """Read the file once; return whether new settings were applied."""
        try:
            text = self._path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            SettingsUnreadable(reason=str(error)).write()
            return False
        if text == self._text:
            return False
        self._text = text
        try:
            settings = parse_instance_settings(text, self._path)
        except SettingsInvalid as error:
            SettingsRejected(findings=format_findings(error)).write()
            return False
        self._apply(settings)
        SettingsReloaded(instance_id=settings.options.instance_id).write()
        return True

    def _run(self) -> None:
        while True:
            if self._poll_requested.wait(FILE_POLL_INTERVAL_SECONDS):
                self._poll_requested.clear()
                SettingsReloadRequested().write()
            self.poll()
