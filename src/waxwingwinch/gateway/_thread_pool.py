"""A thread pool for HTTP servers that grows and shrinks with the load."""

import queue
import threading
from typing import Any

from waxwingwinch.gateway._idle_connections import IdleConnections

#: Idle time after which a thread beyond the minimum ends; longer than the
#: pauses within a burst of requests.
IDLE_THREAD_SECONDS = 2.0


class ElasticThreadPool:
    """
    Starts a thread for a connection if none is idle, up to a maximum.

    It replaces the thread pool of cheroot, whose size is constant.

    :param server: The HTTP server whose connections are served.
    :param min_threads: Minimum number of threads.
    :param max_threads: Maximum number of threads.
    """

    def __init__(self, server: Any, min_threads: int, max_threads: int) -> None:
        #: Minimum number of threads.
        self.min = min_threads
        #: Maximum number of threads.
        self.max = max_threads
        self._server = server
        self._connections: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._size = 0
        #: Idle threads minus queued connections; negative if connections
        #: wait for a thread.
        self._surplus_threads = 0
        self._is_stopping = False
        self._lock = threading.Lock()

    @property
    def size(self) -> int:
        """Number of threads."""
        with self._lock:
            return self._size

    @property
    def qsize(self) -> int:
        """Number of queued connections."""
        return self._connections.qsize()

    @property
    def idle(self) -> int:
        """Number of idle threads."""
        with self._lock:
            return max(self._surplus_threads, 0)

    def start(self) -> None:
        """Start the minimum number of threads."""
        with self._lock:
            for _ in range(self.min):
                self._start_thread()

    def stop(self, timeout: float | None = None) -> None:
        """
        Ask all threads to end once they are idle.

        :param timeout: Unused; busy threads are not waited for.
        """
        with self._lock:
            self._is_stopping = True
            size = self._size
        for _ in range(size):
            self._connections.put(None)

    def put(self, connection: Any) -> None:
        """
        Queue a connection; start a thread if none is idle.

        If the operating system refuses a thread, the connection waits for one
        of those that have been started.

        :param connection: The connection.
        """
        with self._lock:
            self._surplus_threads -= 1
            if self._surplus_threads < 0 and self._size < self.max:
                self._start_thread()
        self._connections.put(connection)

    def _start_thread(self) -> None:
        thread = threading.Thread(target=self._run, name="front-worker", daemon=True)
        try:
            thread.start()
        except (RuntimeError, MemoryError) as error:
            # The connection waits for a thread that has been started.
            self._server.error_log(f"a thread could not be started: {error!r}")
            return
        self._size += 1
        self._surplus_threads += 1

    def _run(self) -> None:
        while True:
            try:
                connection = self._connections.get(timeout=self._idle_timeout_seconds())
            except queue.Empty:
                if self._retire_if_idle():
                    return
                continue
            if connection is None:
                return
            try:
                self._serve(connection)
            except Exception as error:
                # The thread goes on, as others wait for it.
                self._server.error_log(f"a connection was not closed: {error!r}")
            with self._lock:
                self._surplus_threads += 1

    def _idle_timeout_seconds(self) -> float | None:
        with self._lock:
            return IDLE_THREAD_SECONDS if self._size > self.min else None

    def _retire_if_idle(self) -> bool:
        """Remove the calling idle thread from the counts if it may end."""
        with self._lock:
            may_retire = self._surplus_threads > 0 and self._size > self.min
            if may_retire:
                self._surplus_threads -= 1
                self._size -= 1
            return may_retire

    def _serve(self, connection: Any) -> None:
        is_kept = False
        try:
            is_kept = connection.communicate() and not self._is_stopping
        except Exception as error:
            # An error in one request must not end the worker thread, which
            # serves other connections.
            self._server.error_log(
                f"unhandled error while serving a connection: {error!r}"
            )
        if is_kept:
            self._server.put_conn(connection)
        else:
            connection.close()


class ElasticThreadPoolMixin:
    """Mixin with the thread pool and idle connections of an HTTP server."""

    #: Interval at which expired idle connections are closed; half of the
    #: margin by which callers close their idle connections earlier.
    expiration_interval = 1.0
    requests: Any
    _connections: Any

    def configure_threads(self, min_threads: int, max_threads: int) -> None:
        """
        Install the elastic thread pool.

        :param min_threads: Minimum number of threads.
        :param max_threads: Maximum number of threads.
        """
        self.requests = ElasticThreadPool(self, min_threads, max_threads)

    def prepare(self) -> None:
        """Listen, and start the minimum number of threads."""
        super().prepare()  # type: ignore[misc]
        self._connections.close()
        self._connections = IdleConnections(self)

    def _serve_unservicable(self) -> None:
        """Do nothing; no connection is rejected because of a full queue."""
