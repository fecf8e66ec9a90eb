"""Threads of an HTTP server that come and go with its requests."""

import queue
import threading
from typing import Any

#: How long a thread beyond the fewest waits for work before it ends; longer
#: than the pauses within a burst.
IDLE_THREAD_SECONDS = 2.0


class ElasticThreadPool:
    """
    Starts a thread for each connection that finds none free, up to a bound.

    It stands in for the pool of cheroot, which has as many threads at all
    times.

    :param server: The HTTP server whose connections are served.
    :param fewest: Threads that are kept.
    :param most: Threads that there may be.
    """

    def __init__(self, server: Any, min_threads: int, max_threads: int) -> None:
        #: Threads that are kept.
        self.min = min_threads
        #: Threads that there may be.
        self.max = max_threads
        self._server = server
        self._connections: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._size = 0
        #: Threads that wait for a connection, less the connections that wait
        #: for a thread.
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
        """Number of connections that wait for a thread."""
        return self._connections.qsize()

    @property
    def idle(self) -> int:
        """Number of threads that wait for a connection."""
        with self._lock:
            return max(self._surplus_threads, 0)

    def start(self) -> None:
        """Start the threads that are kept."""
        with self._lock:
            for _ in range(self.min):
                self._start_thread()

    def stop(self, timeout: float | None = None) -> None:
        """
        Have the threads end that wait for a connection.

        :param timeout: Unused; nothing waits for those that serve one.
        """
        with self._lock:
            self._is_stopping = True
            size = self._size
        for _ in range(size):
            self._connections.put(None)

    def put(self, connection: Any) -> None:
        """
        Hand a connection to a thread, starting one if none is free.

        :param connection: The connection.
        """
        with self._lock:
            self._surplus_threads -= 1
            if self._surplus_threads < 0 and self._size < self.max:
                self._start_thread()
        self._connections.put(connection)

    def _start_thread(self) -> None:
        self._size += 1
        self._surplus_threads += 1
        threading.Thread(target=self._run, name="front-worker", daemon=True).start()

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
            self._serve(connection)
            with self._lock:
                self._surplus_threads += 1

    def _idle_timeout_seconds(self) -> float | None:
        with self._lock:
            return IDLE_THREAD_SECONDS if self._size > self.min else None

    def _retire_if_idle(self) -> bool:
        """Count a thread without work out, if there are enough others."""
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
            # A fault in one request leaves the thread to the others.
            self._server.error_log(f"a connection failed: {error!r}")
        if is_kept:
            self._server.put_conn(connection)
        else:
            connection.close()


class ElasticThreadPoolMixin:
    """Mixed into an HTTP server of cheroot, which then keeps few threads."""

    #: Interval at which idle connections are closed; half of the margin by
    #: which callers close theirs sooner.
    expiration_interval = 1.0
    requests: Any

    def configure_threads(self, min_threads: int, max_threads: int) -> None:
        """
        Have threads come and go with the requests.

        :param fewest: Threads that are kept.
        :param most: Threads that there may be.
        """
        self.requests = ElasticThreadPool(self, min_threads, max_threads)

    def _serve_unservicable(self) -> None:
        """Need no thread: no connection is turned away for a full queue."""
