"""Tests of a server and links to peers in one thread."""

import asyncio
import threading
from concurrent.futures import Future
from typing import Any

import pytest
from attrs import frozen
from websockets.sync.client import connect

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.codec import message
from waxwingwinch.peers import (
    PeerHub,
    PeerIdentity,
    PeerLink,
    PeerProgram,
    encode_one_way,
)
from waxwingwinch.peers._hub import MAX_BACKLOG_FRAMES
from waxwingwinch.peers.tests.ports import free_port

WAIT_SECONDS = 10.0


@message("test_hub_question")
@frozen
class Question:
    number: int


@message("test_hub_answer")
@frozen
class Answer:
    number: int
    asked_by: str


@message("test_hub_news")
@frozen
class Notice:
    text: str


def identity(name):
    return PeerIdentity(InstanceId(name), PeerProgram.ENTRY, ZoneName("z1"), "c")


def make_hub(name, address=None, secrets=("s",)):
    hub = PeerHub(address or Address("127.0.0.1", free_port()), identity(name), secrets)
    hub.handle(Question, lambda peer, asked: Answer(asked.number + 1, peer.instance_id))
    return hub


@pytest.fixture
def hubs():
    started = []

    def start(name, address=None, secrets=("s",), notices=None):
        hub = make_hub(name, address, secrets)
        hub.handle(Notice, lambda _, notice: notices.append(notice.text))
        hub.start()
        started.append(hub)
        return hub

    yield start
    for hub in started:
        hub.stop()


def run_in_hub(hub, make_coroutine):
    """Run a coroutine in the thread of a hub and return its result."""
    result: Future[Any] = Future()

    async def work():
        try:
            result.set_result(await make_coroutine())
        except Exception as error:
            result.set_exception(error)

    hub.call(lambda: hub.spawn(work()))
    return result.result(WAIT_SECONDS)


def send_request(hub, address, number, timeout_seconds=WAIT_SECONDS):
    async def work():
        link = hub.dial(address)
        try:
            return await link.request(Question(number), timeout_seconds)
        finally:
            link.stop()

    return run_in_hub(hub, work)


def test_replies_belong_to_their_requests(hubs):
    server, client = hubs("server"), hubs("client")

    async def work():
        link = client.dial(server._address)
        asked = [link.request(Question(number), WAIT_SECONDS) for number in range(5)]
        return await asyncio.gather(*asked)

    assert run_in_hub(client, work) == [Answer(n + 1, "client") for n in range(5)]


def test_hub_without_the_secret_is_rejected(hubs):
    server, client = hubs("server"), hubs("client", secrets=("wrong",))
    with pytest.raises(PeerUnavailable):
        send_request(client, server._address, 1, 0.5)


def test_hub_serves_threaded_links(hubs):
    server = hubs("server")
    link = PeerLink(server._address, identity("client"), ["s"])
    link.start()
    pause = threading.Event()
    while link.peer is None:
        pause.wait(0.02)
    assert link.request(Question(1), WAIT_SECONDS) == Answer(2, "client")
    link.stop()


def test_malformed_message_does_not_affect_other_peers(hubs):
    server, client = hubs("server"), hubs("client")
    with connect(f"ws://{server._address}", proxy=None) as raw_client:
        raw_client.send(b"\xff\x00 not cbor")
        with pytest.raises(Exception, match="received"):
            raw_client.recv(timeout=WAIT_SECONDS)
    assert send_request(client, server._address, 1) == Answer(2, "client")


def test_link_reconnects_after_the_server_restarts(hubs):
    client = hubs("client")
    address = Address("127.0.0.1", free_port())
    first = make_hub("server", address)
    first.start()
    assert send_request(client, address, 1) == Answer(2, "client")

    links = []

    async def dial():
        links.append(client.dial(address))
        return await links[0].request(Question(1), WAIT_SECONDS)

    async def again():
        return await links[0].request(Question(7), WAIT_SECONDS)

    run_in_hub(client, dial)
    first.stop()
    hubs("server", address)
    assert run_in_hub(client, again) == Answer(8, "client")
    assert links[0].connections_made == 2


def test_messages_arrive_in_order(hubs):
    notices: list[str] = []
    server, client = hubs("server", notices=notices), hubs("client")

    async def work():
        link = client.dial(server._address)
        await link.request(Question(0), WAIT_SECONDS)
        for number in range(50):
            link.send(encode_one_way(Notice(str(number))))
        await link.request(Question(0), WAIT_SECONDS)

    run_in_hub(client, work)
    assert notices == [str(number) for number in range(50)]


def test_connection_to_a_peer_that_does_not_read_is_aborted(hubs):
    """
    Guards against an unbounded backlog for a frozen peer, whose process reads
    nothing while its connection stays open.
    """
    notices: list[str] = []
    server, client = hubs("server", notices=notices), hubs("client")

    async def work():
        link = client.dial(server._address)
        await link.request(Question(0), WAIT_SECONDS)
        # No await between the calls, so the writer sends nothing meanwhile.
        for number in range(MAX_BACKLOG_FRAMES):
            link.send(encode_one_way(Notice(str(number))))
        with pytest.raises(PeerUnavailable):
            link.send(encode_one_way(Notice("one too many")))
        await asyncio.sleep(0.1)
        with pytest.raises(PeerUnavailable):
            link.send(encode_one_way(Notice("the connection is closed")))
        await link.request(Question(0), WAIT_SECONDS)
        return link.connections_made

    assert run_in_hub(client, work) == 2


def test_request_fails_immediately_when_the_link_breaks(hubs):
    client = hubs("client")
    server = make_hub("server")
    server.start()

    async def work():
        link = client.dial(server._address)
        await link.request(Question(0), WAIT_SECONDS)
        asked = asyncio.ensure_future(link.request(Question(1), WAIT_SECONDS))
        await asyncio.sleep(0)
        link._open.connection.transport.abort()
        with pytest.raises(PeerUnavailable, match="broke|no link"):
            await asked

    run_in_hub(client, work)
    server.stop()


def test_start_raises_if_the_address_is_in_use(hubs):
    server = hubs("server")
    with pytest.raises(OSError):
        make_hub("second", server._address).start()
