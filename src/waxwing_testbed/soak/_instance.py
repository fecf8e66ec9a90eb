"""The processes of an instance, one after another."""

import http.client
import os
import pathlib
import signal
import subprocess
import threading
import time

from waxwing_testbed.deployment import ManagedProcess
from waxwing_testbed.soak._bounds import Bounds
from waxwing_testbed.soak._callers import InstancePorts
from waxwing_testbed.soak._events import Cause, Ended
from waxwing_testbed.soak._recorder import Recorder
from waxwing_testbed.soak._schedule import Action, Disturb
from waxwing_testbed.soak._standins import ZONE, SoakStore
from waxwingwinch.peers.tests.ports import free_port
from waxwingwinch.platform.tests.standin import HOST

_RESTART_PAUSE_SECONDS = 0.3
_POLL_SECONDS = 0.05


class SoakInstance:
    """
    An instance, and its successors at the same ports.

    :param name: Name of the instance.
    :param folder: Where settings and logs are kept.
    :param store: The platform's store.
    :param bounds: Bounds of the settings.
    :param recorder: Keeps what is done to it and how it ends.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: SoakStore,
        bounds: Bounds,
        recorder: Recorder,
    ) -> None:
        first, last, front, self._ready, directory = sorted(
            free_port() for _ in range(5)
        )
        #: Where callers reach it.
        self.ports = InstancePorts(name, front, directory)
        self._folder = folder
        self._bounds = bounds
        self._recorder = recorder
        self._settings = (
            f"nodeName={name}\nzone={ZONE}\nzones.{ZONE}=region\nip={HOST}\n"
            f"listen.front={HOST}:{front}\nlisten.readyAddr={HOST}:{self._ready}\n"
            f"listen.directoryAddr={HOST}:{directory}\nportRange={first},{last}\n"
            f"firstStart=true\nplatform.address={HOST}:{store.port}\n"
            f"{bounds.settings()}"
        )
        self._path = folder / f"{name}.conf"
        self._reloads = 0
        self._starts = 0
        self._stop_seconds: float | None = None
        self._is_killed = False
        self._watcher = threading.Thread(target=self._watch, daemon=True)
        self._write_settings()
        self._process = self._start()
        self._watcher.start()

    def is_ready(self) -> bool:
        """Tell whether it says that it takes callers."""
        connection = http.client.HTTPConnection(HOST, self._ready, timeout=1.0)
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def disturb(self, event: Disturb) -> None:
        """
        Do something to the present process, if there is one.

        :param event: What.
        """
        if not self._process.is_running():
            return
        note, name = self._recorder.note, self.ports.name
        match event.action:
            case Action.STOP if self._stop_seconds is None:
                self._stop_seconds = self._recorder.now()
                note(Cause.TERM, name, self._bounds.grace_seconds)
                self._signal(signal.SIGTERM)
            case Action.KILL:
                self._is_killed = True
                note(Cause.KILL, name)
                self._signal(signal.SIGKILL)
            case Action.FREEZE:
                note(Cause.FREEZE, name, event.seconds)
                self._signal(signal.SIGSTOP)
                time.sleep(event.seconds)
                self._signal(signal.SIGCONT)
            case Action.RELOAD | Action.RELOAD_TWICE:
                self._reloads += 1
                self._write_settings()
                note(Cause.HANGUP, name)
                for _ in range(1 if event.action is Action.RELOAD else 2):
                    self._signal(signal.SIGHUP)

    def stop(self) -> None:
        """End the process and start no other."""
        # The watcher may be about to start a successor.
        while self._watcher.is_alive():
            self._is_killed = True
            self._process.kill_for_good()
            self._watcher.join(_POLL_SECONDS)

    def _signal(self, number: signal.Signals) -> None:
        # Not while the watcher replaces the process.
        if self._process.is_running():
            os.kill(self._process.pid, number)

    def _write_settings(self) -> None:
        new = self._path.with_suffix(".new")
        new.write_text(f"{self._settings}# reload {self._reloads}\n")
        new.rename(self._path)

    def _start(self) -> ManagedProcess:
        self._starts += 1
        name = f"{self.ports.name}-{self._starts}"
        process = ManagedProcess(
            name, "waxwingwinch.platform", [str(self._path)], self._folder
        )
        self._stop_seconds, self._is_killed = None, False
        log = process.log_path.name
        self._recorder.note(Cause.START, self.ports.name, detail=log)
        process.start()
        return process

    def _watch(self) -> None:
        """Record ends of the process, and start its successors."""
        while True:
            status, peak_bytes = self._wait()
            is_told = self._is_killed or self._stop_seconds is not None
            now_seconds = self._recorder.now()
            name = self.ports.name
            end = Ended(name, now_seconds, status, is_told, peak_bytes)
            self._recorder.record(end)
            if self._recorder.stopping.wait(_RESTART_PAUSE_SECONDS):
                return
            self._process = self._start()

    def _wait(self) -> tuple[int, int]:
        """Wait for the process's end; return its status and peak memory."""
        peak_bytes = 0
        while True:
            peak_bytes = max(peak_bytes, _peak_bytes(self._process.pid))
            stop_seconds = self._stop_seconds
            if stop_seconds is not None:
                passed_seconds = self._recorder.now() - stop_seconds
                if passed_seconds > self._bounds.grace_seconds:
                    self._signal(signal.SIGKILL)
            try:
                return self._process.wait_for_exit(_POLL_SECONDS), peak_bytes
            except subprocess.TimeoutExpired:
                continue


def _peak_bytes(pid: int) -> int:
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    lines = [line for line in status.splitlines() if line.startswith("VmHWM:")]
    return int(lines[0].split()[1]) * 1_024 if lines else 0
