"""Callers that find instances by the directory and keep connections."""

import http.client
import itertools
import random
import time

from attrs import define, frozen

from waxwing_testbed.soak._events import Answered, Call, Kind, NotSent, Result
from waxwing_testbed.soak._exchange import (
    ask_directory,
    connect,
    read_answer,
    send_request,
)
from waxwing_testbed.soak._recorder import Recorder
from waxwing_testbed.soak._requests import (
    DEADLINE_SECONDS,
    SoakRequest,
    make_probe,
    make_request,
)

#: Largest lifetime of a directory's answer that counts.
_MAX_TTL_SECONDS = 5.0
#: Part of the idle time-out up to which a connection is used again.
_IDLE_RATIO = 0.8
_PROBE_PAUSE_SECONDS = 0.1


@frozen
class InstancePorts:
    """
    Where callers reach an instance.

    :param name: Name of the instance.
    :param front: Port for requests.
    :param directory: Port of the directory.
    """

    name: str
    front: int
    directory: int


@define
class _Connection:
    """
    A kept connection.

    :param http: The connection.
    :param port: The instance's port for requests.
    :param used_seconds: When it was used last; None if never.
    """

    http: http.client.HTTPConnection
    port: int
    used_seconds: float | None = None


class Caller:
    """
    A caller that sends one request after another.

    :param name: Begins the ids of its requests.
    :param seed: Seed of its choices.
    :param ttl_factor: How much longer it keeps a directory's answer.
    :param instances: All instances.
    :param recorder: Keeps its calls.
    """

    def __init__(
        self,
        name: str,
        seed: int,
        ttl_factor: float,
        instances: list[InstancePorts],
        recorder: Recorder,
    ) -> None:
        self._name = name
        self._random = random.Random(f"{seed}-{name}")
        self._ttl_factor = ttl_factor
        self._instances = instances
        self._recorder = recorder
        self._numbers = itertools.count(1)
        self._connection: _Connection | None = None
        self._ports: list[int] = []
        self._failed: set[int] = set()
        self._resolved_until_seconds = 0.0

    def run(self) -> None:
        """Send requests until the soak ends."""
        while not self._recorder.stopping.is_set():
            request = make_request(self._random)
            if request.kind is Kind.IDLE and self._connection is not None:
                self._recorder.stopping.wait(self._idle_seconds() * 0.99)
            connection = self._take_connection()
            if connection is None:
                self._recorder.stopping.wait(0.1)
                continue
            call = self._call(connection, request)
            if not isinstance(call.result, Answered):
                # An answer that closes the connection says nothing against
                # the instance.
                self._failed.add(connection.port)
            self._recorder.stopping.wait(self._random.uniform(0.0, 0.2))

    def run_probes(self) -> None:
        """Send requests for changing routes and keys to all instances."""
        for instance in itertools.cycle(self._instances):
            if self._recorder.stopping.wait(_PROBE_PAUSE_SECONDS):
                return
            opened = connect(instance.front)
            if opened is not None:
                connection = _Connection(opened, instance.front)
                self._call(connection, make_probe(self._random))
                opened.close()

    def _idle_seconds(self) -> float:
        """Return for how long a connection may be idle to be used again."""
        published = self._recorder.published
        return _IDLE_RATIO * published.idle_seconds if published else 0.0

    def _take_connection(self) -> _Connection | None:
        self._resolve()
        connection = self._connection
        if connection is not None:
            idle_seconds = time.monotonic() - (connection.used_seconds or 0.0)
            if connection.port in self._ports and idle_seconds <= self._idle_seconds():
                return connection
            connection.http.close()
            self._connection = None
        ports = [port for port in self._ports if port not in self._failed]
        if ports:
            port = self._random.choice(ports)
            opened = connect(port)
            if opened is None:
                self._failed.add(port)
            else:
                self._connection = _Connection(opened, port)
        else:
            self._failed.clear()
        return self._connection

    def _resolve(self) -> None:
        if time.monotonic() < self._resolved_until_seconds:
            return
        for instance in self._random.sample(self._instances, len(self._instances)):
            answer = ask_directory(instance.directory)
            if answer is not None:
                self._ports, ttl_seconds = answer
                kept_seconds = min(ttl_seconds, _MAX_TTL_SECONDS) * self._ttl_factor
                self._resolved_until_seconds = time.monotonic() + kept_seconds
                self._failed.clear()
                return

    def _call(self, connection: _Connection, request: SoakRequest) -> Call:
        """Send a request and record what came of it."""
        request_id = f"{self._name}-{next(self._numbers)}"
        is_kept = connection.used_seconds is not None
        started_seconds = sent_seconds = self._recorder.now()
        flaw = ""
        try:
            send_request(connection.http, request, request_id)
        except OSError as error:
            result: Result = NotSent(repr(error))
            connection.http.close()
        else:
            sent_seconds = self._recorder.now()
            result, flaw = read_answer(connection.http, request, request_id)
        if connection.http.sock is None and connection is self._connection:
            self._connection = None
        connection.used_seconds = time.monotonic()
        names = {one.front: one.name for one in self._instances}
        call = Call(
            request_id,
            request.kind,
            names[connection.port],
            request.route,
            request.key,
            started_seconds,
            sent_seconds,
            self._recorder.now(),
            DEADLINE_SECONDS,
            is_kept,
            result,
            flaw,
        )
        self._recorder.record(call)
        return call
