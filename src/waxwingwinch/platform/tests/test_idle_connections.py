"""Idle, silent and slow callers of the server of callers."""

import contextlib
import socket
import time
from typing import Any

import eliot
import pytest
from cheroot.connections import ConnectionManager

from waxwingwinch.gateway._front import FrontServer
from waxwingwinch.gateway._model import CallerLimits
from waxwingwinch.http import is_closed_by_peer
from waxwingwinch.platform.tests.standin import wait_until
from waxwingwinch.platform.tests.test_front import (
    REQUEST,
    AnsweringHandler,
    front_server,
)


# Guards against kept connections that are closed all at once, or never, as the
# time of day is set.
@pytest.mark.parametrize("step_seconds", [3_600.0, -3_600.0])
def test_idle_connections_end_in_time_whatever_the_time_of_day(
    monkeypatch, step_seconds
):
    wall_seconds = time.time
    timeout_seconds = 2.5
    monkeypatch.setattr(
        FrontServer, "timeout", property(lambda _: timeout_seconds, lambda *_: None)
    )
    with (
        front_server(AnsweringHandler()) as (address, _),
        socket.create_connection((address.host, address.port), 5.0) as caller,
    ):
        caller.sendall(REQUEST)
        assert caller.recv(1_024).startswith(b"HTTP/1.1 200")
        # The server keeps the connection only after it has written the answer.
        time.sleep(0.2)
        monkeypatch.setattr(time, "time", lambda: wall_seconds() + step_seconds)
        time.sleep(1.3)
        assert not is_closed_by_peer(caller)
        time.sleep(3.0)
        assert is_closed_by_peer(caller)


# Guards against callers that connect and send nothing, and take the threads of
# those that ask.
def test_silent_callers_hold_up_no_others():
    with contextlib.ExitStack() as callers:
        address, server = callers.enter_context(front_server(AnsweringHandler()))
        for _ in range(server.requests.max):
            callers.enter_context(
                socket.create_connection((address.host, address.port), 5.0)
            )
        time.sleep(0.2)
        asking = callers.enter_context(
            socket.create_connection((address.host, address.port), 1.0)
        )
        asking.sendall(REQUEST)
        assert asking.recv(1_024).startswith(b"HTTP/1.1 200")


# Guards against log lines on the server's errors that do not say which.
def test_an_error_of_the_server_is_named_in_the_log(monkeypatch):
    messages: list[dict[str, Any]] = []

    def accept(manager, listener):
        listener.accept()[0].close()
        raise MemoryError

    with front_server(AnsweringHandler()) as (address, _):
        monkeypatch.setattr(ConnectionManager, "_from_server_socket", accept)
        eliot.add_destinations(messages.append)
        try:
            socket.create_connection((address.host, address.port), 5.0).close()
            # The first destination also gets earlier lines.
            expected = "Error in HTTPServer.serve (MemoryError)"
            assert wait_until(lambda: expected in reasons_of(messages), 5.0)
        finally:
            eliot.remove_destination(messages.append)


def reasons_of(messages):
    return [
        message["reason"]
        for message in messages
        if message["message_type"] == "front:server_error"
    ]


# Guards against heads that arrive by the byte and hold their threads for as
# long as their callers like.
def test_a_head_that_arrives_slowly_ends_at_its_timeout(monkeypatch):
    limits = CallerLimits(header_timeout_seconds=0.5)
    monkeypatch.setattr(FrontServer, "limits", property(lambda _: limits))
    with contextlib.ExitStack() as callers:
        address, server = callers.enter_context(front_server(AnsweringHandler()))
        slow = [
            callers.enter_context(
                socket.create_connection((address.host, address.port), 5.0)
            )
            for _ in range(server.requests.max)
        ]
        asking = callers.enter_context(
            socket.create_connection((address.host, address.port), 0.2)
        )
        answer = b""
        for number in range(15):
            for caller in slow:
                with contextlib.suppress(OSError):
                    caller.sendall(REQUEST[number : number + 1])
            if number == 1:
                asking.sendall(REQUEST)
            if number >= 1 and not answer:
                with contextlib.suppress(TimeoutError):
                    answer = asking.recv(1_024)
            time.sleep(0.1)
        assert answer.startswith(b"HTTP/1.1 200")
