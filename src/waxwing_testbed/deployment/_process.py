"""Starting, pausing and ending real processes."""

import os
import pathlib
import signal
import subprocess
import sys
import threading
from collections.abc import Sequence

#: How long a process may take to end after SIGTERM.
STOP_TIMEOUT_SECONDS = 20.0
#: Pause before a supervised process is started again.
RESTART_PAUSE_SECONDS = 0.3


class ManagedProcess:
    """
    One process of a deployment.

    :param name: For people; also names the log file.
    :param module: Python module to run.
    :param arguments: Command line arguments.
    :param log_folder: Where standard output and error are kept.
    :param restarts: True to start it again whenever it ends, as an
        operator's init would.
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: Sequence[str],
        log_folder: pathlib.Path,
        restarts: bool = False,
    ) -> None:
        #: Name for people.
        self.name = name
        #: Where standard output and error are kept.
        self.log_path = log_folder / f"{name}.log"
        self._command = [sys.executable, "-m", module, *arguments]
        self._restarts = restarts
        self._wanted = False
        self._process: subprocess.Popen[bytes] | None = None
        self._watcher: threading.Thread | None = None
        self._lock = threading.Lock()
        #: Exit statuses of all runs that ended; negative for a signal.
        self.exit_statuses: list[int] = []

    @property
    def pid(self) -> int:
        """Process id of the present run."""
        if self._process is None:
            raise RuntimeError(f"{self.name} was not started")
        return self._process.pid

    def is_running(self) -> bool:
        """Tell whether the present run has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process, and its watcher if it is supervised."""
        self._wanted = True
        self._spawn()
        if self._restarts and self._watcher is None:
            self._watcher = threading.Thread(target=self._watch, daemon=True)
            self._watcher.start()

    def kill(self) -> None:
        """End the present run at once; a supervised process starts again."""
        self._signal(signal.SIGKILL)

    def kill_for_good(self) -> None:
        """End the process at once and don't start it again."""
        self._wanted = False
        self._signal(signal.SIGCONT)
        self._signal(signal.SIGKILL)
        self._wait()

    def pause(self) -> None:
        """Stop the process's execution."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask for a planned stop without waiting for it."""
        self._wanted = False
        self._signal(signal.SIGTERM)

    def stop(self) -> None:
        """Ask for a planned stop; end the process if it doesn't follow."""
        self.terminate()
        try:
            self._wait()
        except subprocess.TimeoutExpired:
            self.kill_for_good()

    def wait_for_exit(self, timeout_seconds: float) -> int:
        """
        Wait until the present run ends.

        :param timeout_seconds: How long to wait.
        :returns: The exit status.
        :raises subprocess.TimeoutExpired: If it still runs.
        """
        if self._process is None:
            raise RuntimeError(f"{self.name} was not started")
        return self._process.wait(timeout_seconds)

    def _spawn(self) -> None:
        with self._lock, self.log_path.open("ab") as log:
            environment = dict(os.environ, PYTHONUNBUFFERED="1")
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def _signal(self, number: signal.Signals) -> None:
        # The process may end at this moment, and its watcher may know first.
        if self._process is not None:
            self._process.send_signal(number)

    def _wait(self) -> None:
        if self._process is not None:
            self._process.wait(STOP_TIMEOUT_SECONDS)

    def _watch(self) -> None:
        pause = threading.Event()
        while self._wanted and self._process is not None:
            self.exit_statuses.append(self._process.wait())
            pause.wait(RESTART_PAUSE_SECONDS)
            if self._wanted:
                self._spawn()
