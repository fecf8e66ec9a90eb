"""Mutual authentication by a shared secret, before any other message."""

import asyncio
import enum
import hashlib
import hmac
import secrets
from collections.abc import Generator, Sequence
from typing import Any, Protocol, TypeVar

from attrs import frozen

from waxwingwinch._exceptions import MalformedMessage, WaxwingError
from waxwingwinch._types import InstanceId, ZoneName
from waxwingwinch.codec import decode_message, encode_message, message

T = TypeVar("T")

#: Length of a nonce.
NONCE_BYTES = 16
#: How long each step of the handshake may take.
STEP_TIMEOUT_SECONDS = 3.0


class PeerProgram(enum.Enum):
    """Which of the system's programs a peer is."""

    ENTRY = "entry"
    CONTROL = "control"
    OPERATOR = "operator"


@message("peer_identity")
@frozen
class PeerIdentity:
    """
    Who a process is.

    :param instance_id: Name of its instance.
    :param program: Which program it runs.
    :param zone: Its availability zone.
    :param cell: The group of instances that share a fleet.
    """

    instance_id: InstanceId
    program: PeerProgram
    zone: ZoneName
    cell: str


@message("peer_hello")
@frozen
class Hello:
    """
    First message of the dialing side.

    :param identity: Who dials.
    :param nonce: Fresh random bytes.
    """

    identity: PeerIdentity
    nonce: bytes


@message("peer_challenge")
@frozen
class Challenge:
    """
    Answer of the serving side.

    :param identity: Who serves.
    :param nonce: Fresh random bytes.
    :param proof: Code over both nonces, made with the first secret.
    """

    identity: PeerIdentity
    nonce: bytes
    proof: bytes


@message("peer_proof")
@frozen
class Proof:
    """
    Last message of the dialing side.

    :param proof: Code over both nonces.
    """

    proof: bytes


class PeerRejected(WaxwingError):
    """The other side does not know the shared secret."""


class Connection(Protocol):
    """What the handshake needs of a websocket connection."""

    def send(self, message: bytes) -> None:
        """Send one binary message."""

    def recv(self, timeout: float | None = None) -> Any:
        """Receive one message."""


class AsyncConnection(Protocol):
    """The same of a connection of an event loop."""

    async def send(self, message: bytes) -> None:
        """Send one binary message."""

    async def recv(self) -> Any:
        """Receive one message."""


#: One side of the handshake: yields each message to send, and None where it
#: is to be sent the next message of the other side. Returns who that is.
HandshakeSteps = Generator[bytes | None, Any, PeerIdentity]


def _proof(secret: str, label: str, first: bytes, second: bytes, name: str) -> bytes:
    text = label.encode() + b"\0" + first + second + name.encode()
    return hmac.digest(secret.encode(), text, hashlib.sha256)


def _is_valid(
    proof: bytes,
    shared_secrets: Sequence[str],
    label: str,
    first: bytes,
    second: bytes,
    name: str,
) -> bool:
    matches = [
        hmac.compare_digest(proof, _proof(secret, label, first, second, name))
        for secret in shared_secrets
    ]
    return any(matches)


def greeting_steps(
    identity: PeerIdentity, shared_secrets: Sequence[str]
) -> HandshakeSteps:
    """
    Return the dialing side.

    :param identity: Who dials.
    :param shared_secrets: Accepted secrets; the first is used to sign. Two
        are listed while the secret is rotated.
    :raises PeerRejected: If the server doesn't know a secret.
    :raises MalformedMessage: If it sent something else.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    yield encode_message(Hello(identity, nonce))
    challenge = _expect(Challenge, (yield None))
    server = challenge.identity
    name = server.instance_id
    signing = [
        secret
        for secret in shared_secrets
        if _is_valid(challenge.proof, [secret], "server", nonce, challenge.nonce, name)
    ]
    if not signing:
        raise PeerRejected(f"{name} does not know the shared secret")
    # Signing with the secret that the server used lets a rotation proceed
    # one process at a time.
    proof = _proof(signing[0], "client", challenge.nonce, nonce, identity.instance_id)
    yield encode_message(Proof(proof))
    return server


def admission_steps(
    identity: PeerIdentity, shared_secrets: Sequence[str]
) -> HandshakeSteps:
    """
    Return the serving side.

    :param identity: Who serves.
    :param shared_secrets: Accepted secrets.
    :raises PeerRejected: If the client doesn't know a secret.
    :raises MalformedMessage: If it sent something else.
    """
    hello = _expect(Hello, (yield None))
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _proof(
        shared_secrets[0], "server", hello.nonce, nonce, identity.instance_id
    )
    yield encode_message(Challenge(identity, nonce, proof))
    answer = _expect(Proof, (yield None))
    name = hello.identity.instance_id
    if not _is_valid(answer.proof, shared_secrets, "client", nonce, hello.nonce, name):
        raise PeerRejected(f"{name} does not know the shared secret")
    return hello.identity


def shake_hands(connection: Connection, steps: HandshakeSteps) -> PeerIdentity:
    """
    Run one side of the handshake over a connection.

    :param connection: The connection.
    :param steps: The side.
    :returns: Who is at the other end.
    :raises TimeoutError: If a message doesn't come in time.
    """
    received = None
    while True:
        try:
            to_send = steps.send(received)
        except StopIteration as end:
            identity: PeerIdentity = end.value
            return identity
        received = None
        if to_send is None:
            received = connection.recv(timeout=STEP_TIMEOUT_SECONDS)
        else:
            connection.send(to_send)


async def shake_hands_async(
    connection: AsyncConnection, steps: HandshakeSteps
) -> PeerIdentity:
    """
    Run one side of the handshake over a connection of an event loop.

    :param connection: The connection.
    :param steps: The side.
    :returns: Who is at the other end.
    :raises TimeoutError: If a message doesn't come in time.
    """
    received = None
    while True:
        try:
            to_send = steps.send(received)
        except StopIteration as end:
            identity: PeerIdentity = end.value
            return identity
        received = None
        if to_send is None:
            async with asyncio.timeout(STEP_TIMEOUT_SECONDS):
                received = await connection.recv()
        else:
            await connection.send(to_send)


def _expect(kind: type[T], payload: Any) -> T:
    """
    Decode one handshake message.

    :raises MalformedMessage: If it is of another kind.
    """
    if not isinstance(payload, bytes):
        raise MalformedMessage("expected a binary message")
    decoded = decode_message(payload)
    if not isinstance(decoded, kind):
        raise MalformedMessage(f"expected {kind.__name__}")
    return decoded
