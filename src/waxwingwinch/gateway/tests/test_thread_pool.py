"""The thread pool grows and shrinks with the load; tested without sockets."""

import threading
import time

import pytest

from waxwingwinch.gateway import _thread_pool
from waxwingwinch.gateway._handler import (
    MAX_CONCURRENT_REQUESTS,
    max_concurrent_requests,
)
from waxwingwinch.gateway._thread_pool import ElasticThreadPool

MIN_THREADS = 2
MAX_THREADS = 20


class FakeServer:
    def __init__(self):
        self.errors: list[str] = []
        self.requests = ElasticThreadPool(self, MIN_THREADS, MAX_THREADS)
        self.requests.start()

    def put_conn(self, connection):
        raise AssertionError("the connection was kept although it had to be closed")

    def error_log(self, message):
        self.errors.append(message)


class BlockingConnection:
    """Keeps its thread busy until the event is set."""

    def __init__(self, started, release):
        self._started, self._release = started, release

    def communicate(self):
        self._started.release()
        self._release.wait()
        return False

    def close(self):
        """Do nothing; there is no socket."""


class Burst:
    """Connections that arrive together."""

    def __init__(self, server, count):
        self.started, self.release = threading.Semaphore(0), threading.Event()
        self.count = count
        for _ in range(count):
            server.requests.put(BlockingConnection(self.started, self.release))

    def wait_until_served(self, count, timeout_seconds=5.0):
        end_seconds = time.monotonic() + timeout_seconds
        for _ in range(count):
            assert self.started.acquire(timeout=end_seconds - time.monotonic())


def wait_for_size(server, size, timeout_seconds=10.0):
    end_seconds = time.monotonic() + timeout_seconds
    while server.requests.size != size and time.monotonic() < end_seconds:
        time.sleep(0.01)
    return server.requests.size


def test_low_load_keeps_the_minimum_of_threads():
    """Case: a large deployment; each instance gets one request per second."""
    server = FakeServer()
    assert server.requests.size == MIN_THREADS
    for _ in range(3 * MAX_THREADS):
        burst = Burst(server, 1)
        burst.wait_until_served(1)
        burst.release.set()
        time.sleep(0.002)
    assert server.requests.size <= MIN_THREADS + 1


def test_a_burst_gets_a_thread_per_request_at_once():
    """Many callers connect at once to a small instance."""
    server = FakeServer()
    started_seconds = time.monotonic()
    burst = Burst(server, MAX_THREADS)
    put_seconds = time.monotonic() - started_seconds
    burst.wait_until_served(MAX_THREADS)
    assert put_seconds < 0.005 * MAX_THREADS
    burst.release.set()


def test_idle_threads_end_after_a_burst(monkeypatch):
    monkeypatch.setattr(_thread_pool, "IDLE_THREAD_SECONDS", 0.05)
    server = FakeServer()
    burst = Burst(server, MAX_THREADS)
    burst.wait_until_served(MAX_THREADS)
    burst.release.set()
    assert wait_for_size(server, MIN_THREADS) == MIN_THREADS
    second_burst = Burst(server, MAX_THREADS)
    second_burst.wait_until_served(MAX_THREADS)
    second_burst.release.set()


def test_the_maximum_holds_and_queued_connections_are_served_later():
    server = FakeServer()
    burst = Burst(server, MAX_THREADS + 5)
    burst.wait_until_served(MAX_THREADS)
    assert server.requests.size == MAX_THREADS
    assert not burst.started.acquire(timeout=0.05)
    burst.release.set()
    burst.wait_until_served(5)


def test_an_error_in_one_request_ends_no_thread():
    server = FakeServer()
    connection = BlockingConnection(None, None)
    for _ in range(MAX_THREADS):
        server.requests.put(connection)
    burst = Burst(server, MAX_THREADS)
    burst.wait_until_served(MAX_THREADS)
    assert len(server.errors) == MAX_THREADS
    burst.release.set()


def test_the_request_bound_follows_descriptors():
    assert max_concurrent_requests(7_900) == MAX_CONCURRENT_REQUESTS
    assert max_concurrent_requests(400) == 50
    assert max_concurrent_requests(0) == 1


@pytest.fixture
def no_threads(monkeypatch):
    """An event during which the operating system refuses further threads."""
    is_refusing = threading.Event()
    start = threading.Thread.start

    def start_if_allowed(thread):
        if is_refusing.is_set():
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(threading.Thread, "start", start_if_allowed)
    return is_refusing


# Guards against connections that are lost as no thread can be started.
def test_a_connection_waits_for_a_thread_if_no_other_can_be_started(no_threads):
    server = FakeServer()
    no_threads.set()
    burst = Burst(server, MAX_THREADS)
    burst.wait_until_served(MIN_THREADS)
    burst.release.set()
    burst.wait_until_served(MAX_THREADS - MIN_THREADS)


# Guards against a pool that counts threads that did not start.
def test_threads_that_did_not_start_are_not_counted(no_threads):
    server = FakeServer()
    no_threads.set()
    burst = Burst(server, 2 * MAX_THREADS)
    burst.release.set()
    burst.wait_until_served(2 * MAX_THREADS)
    assert server.requests.size == MIN_THREADS
    no_threads.clear()
    second_burst = Burst(server, MAX_THREADS)
    second_burst.wait_until_served(MAX_THREADS)
    second_burst.release.set()


class BrokenConnection:
    """Can't be closed."""

    def communicate(self):
        return False

    def close(self):
        raise OSError("no descriptor left")


# Guards against threads that end with a connection that can't be closed, until
# none is left and connections wait without end.
def test_a_connection_that_cannot_be_closed_ends_no_thread():
    server = FakeServer()
    for _ in range(2 * MAX_THREADS):
        server.requests.put(BrokenConnection())
    burst = Burst(server, MAX_THREADS)
    burst.wait_until_served(MAX_THREADS)
    burst.release.set()
    assert len(server.errors) == 2 * MAX_THREADS
