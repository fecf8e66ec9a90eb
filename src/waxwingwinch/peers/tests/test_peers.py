import threading

import pytest
from attrs import frozen
from websockets.sync.client import connect

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch._types import Address, InstanceId, ZoneName
from waxwingwinch.codec import message
from waxwingwinch.peers import PeerIdentity, PeerLink, PeerProgram, PeerServer
from waxwingwinch.peers.tests.ports import free_port

WAIT_SECONDS = 10.0


@message("test_question")
@frozen
class Question:
    number: int


@message("test_answer")
@frozen
class Answer:
    number: int
    asked_by: str


def identity(name):
    return PeerIdentity(InstanceId(name), PeerProgram.ENTRY, ZoneName("z1"), "c")


def answer(peer, question):
    return Answer(question.number + 1, peer.instance_id)


@pytest.fixture
def server_address():
    address = Address("127.0.0.1", free_port())
    server = PeerServer(address, identity("server"), ["new", "old"])
    server.handle(Question, answer)
    server.start()
    yield address
    server.stop()


def open_link(address, secrets):
    link = PeerLink(address, identity("client"), secrets)
    link.start()
    return link


def wait_for_peer(link):
    pause = threading.Event()
    for _ in range(200):
        if link.peer is not None:
            return
        pause.wait(0.05)
    raise AssertionError("link was not established within 10 s")


@pytest.mark.parametrize("secrets", [["new"], ["old", "new"], ["new", "old"]])
def test_reply_belongs_to_its_request(server_address, secrets):
    link = open_link(server_address, secrets)
    wait_for_peer(link)
    replies = [link.request(Question(n), WAIT_SECONDS) for n in range(5)]
    link.stop()
    assert replies == [Answer(n + 1, "client") for n in range(5)]


def test_peer_without_the_secret_is_rejected(server_address):
    link = open_link(server_address, ["wrong"])
    with pytest.raises(PeerUnavailable):
        link.request(Question(1), 0.5)
    link.stop()


def test_malformed_message_does_not_affect_other_peers(server_address):
    link = open_link(server_address, ["new"])
    wait_for_peer(link)
    with connect(f"ws://{server_address}", proxy=None) as raw_client:
        raw_client.send(b"\xff\x00 not cbor")
        with pytest.raises(Exception, match="received"):
            raw_client.recv(timeout=WAIT_SECONDS)
    assert link.request(Question(1), WAIT_SECONDS) == Answer(2, "client")
    link.stop()


def test_link_reconnects_after_the_server_restarts():
    address = Address("127.0.0.1", free_port())
    link = open_link(address, ["s"])
    with pytest.raises(PeerUnavailable):
        link.request(Question(1), 0.1)
    server = PeerServer(address, identity("server"), ["s"])
    server.handle(Question, answer)
    server.start()
    wait_for_peer(link)
    assert link.request(Question(1), WAIT_SECONDS) == Answer(2, "client")
    link.stop()
    server.stop()
