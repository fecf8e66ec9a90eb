"""Following changes of the settings file, with and without a signal."""

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

#: Interval at which the file is looked at; it may change without a signal.
LOOK_SECONDS = 1.0


class SettingsReloader:
    """
    Applies new settings of a running process, in one thread.

    A file that can't be read or has mistakes changes nothing.

    :param path: The settings file.
    :param apply: Called with new settings.
    """

    def __init__(self, path: Path, apply: Callable[[InstanceSettings], None]) -> None:
        self._path = path
        self._apply = apply
        self._text = path.read_text()
        self._look = threading.Event()
        self._thread = threading.Thread(target=self._run, name="settings", daemon=True)

    def start(self) -> None:
        """Start looking at the file."""
        self._thread.start()

    def request(self) -> None:
        """Look at the file now; may be called from a signal handler."""
        self._look.set()

    def look(self) -> bool:
        """Read the file; return whether new settings were applied."""
        try:
            text = self._path.read_text()
        except OSError as error:
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
            if self._look.wait(LOOK_SECONDS):
                self._look.clear()
                SettingsReloadRequested().write()
            self.look()
