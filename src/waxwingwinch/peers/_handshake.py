"""
Handshake at the start of each connection between peers.

Both sides prove that they know a shared secret before any other message is
sent.
"""

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

NONCE_BYTES = 16
#: Longest wait for each message of the handshake.
STEP_TIMEOUT_SECONDS = 3.0


class PeerProgram(enum.Enum):
    """The programs of the system that connect as peers."""

    ENTRY = "entry"
    CONTROL = "control"
    OPERATOR = "operator"


@message("peer_identity")
@frozen
class PeerIdentity:
    """
    Identity of a process.

    :param instance_id: Name of its instance.
    :param program: The program that it runs.
    :param zone: Its availability zone.
    :param cell: Name of its cell, the group of instances that share a fleet.
    """

    instance_id: InstanceId
    program: PeerProgram
    zone: ZoneName
    cell: str


@message("peer_hello")
@frozen
class Hello:
    """
    First message of the client, which dialed the connection.

    :param identity: Identity of the client.
    :param nonce: Fresh random bytes.
    """

    identity: PeerIdentity
    nonce: bytes


@message("peer_challenge")
@frozen
class Challenge:
    """
    Reply of the server to ``Hello``.

    :param identity: Identity of the server.
    :param nonce: Fresh random bytes.
    :param proof: HMAC of both nonces and the server's instance id, keyed
        with the first of its secrets.
    """

    identity: PeerIdentity
    nonce: bytes
    proof: bytes


@message("peer_proof")
@frozen
class Proof:
    """
    Last message of the client.

    :param proof: HMAC of both nonces and the client's instance id, keyed
        with the secret that the server used.
    """

    proof: bytes


class PeerRejected(WaxwingError):
    """The other side did not prove knowledge of a shared secret."""


class Connection(Protocol):
    """Methods of a blocking websocket connection used by the handshake."""

    def send(self, message: bytes) -> None:
        """Send one binary message."""

    def recv(self, timeout: float | None = None) -> Any:
        """Receive one message."""


class AsyncConnection(Protocol):
    """Methods of an asyncio websocket connection used by the handshake."""

    async def send(self, message: bytes) -> None:
        """Send one binary message."""

    async def recv(self) -> Any:
        """Receive one message."""


#: One side of the handshake, independent of the kind of connection. Yields
#: each message to send, and None to receive the next message of the other
#: side through ``send()``. Returns the identity of the other side.
HandshakeSteps = Generator[bytes | None, Any, PeerIdentity]


def _proof(
    secret: str, side: str, verifier_nonce: bytes, prover_nonce: bytes, name: str
) -> bytes:
    text = side.encode() + b"\0" + verifier_nonce + prover_nonce + name.encode()
    return hmac.digest(secret.encode(), text, hashlib.sha256)


def _is_valid(
    proof: bytes,
    shared_secrets: Sequence[str],
    side: str,
    verifier_nonce: bytes,
    prover_nonce: bytes,
    name: str,
) -> bool:
    matches = [
        hmac.compare_digest(
            proof, _proof(secret, side, verifier_nonce, prover_nonce, name)
        )
        for secret in shared_secrets
    ]
    return any(matches)


def client_handshake(
    identity: PeerIdentity, shared_secrets: Sequence[str]
) -> HandshakeSteps:
    """
    Return the client's side of the handshake.

    :param identity: Identity of the client.
    :param shared_secrets: Accepted secrets; two are listed while the secret
        is rotated. The client signs with the first that the server proved.
    :raises PeerRejected: If the server knows none of the secrets.
    :raises MalformedMessage: If the server sent anything but a challenge.
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
        raise PeerRejected(f"server {name} does not know a shared secret")
    # The proof is signed with the secret that the server used, so that a
    # secret can be rotated one process at a time.
    proof = _proof(signing[0], "client", challenge.nonce, nonce, identity.instance_id)
    yield encode_message(Proof(proof))
    return server


def server_handshake(
    identity: PeerIdentity, shared_secrets: Sequence[str]
) -> HandshakeSteps:
    """
    Return the server's side of the handshake.

    :param identity: Identity of the server.
    :param shared_secrets: Accepted secrets; the first is used to sign.
    :raises PeerRejected: If the client knows none of the secrets.
    :raises MalformedMessage: If the client sent anything but a hello and a
        proof.
    """
    hello = _expect(Hello, (yield None))
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = _proof(
        shared_secrets[0], "server", hello.nonce, nonce, identity.instance_id
    )
    yield encode_message(Challenge(identity, nonce, proof))
    proof_message = _expect(Proof, (yield None))
    name = hello.identity.instance_id
    if not _is_valid(
        proof_message.proof, shared_secrets, "client", nonce, hello.nonce, name
    ):
        raise PeerRejected(f"client {name} does not know a shared secret")
    return hello.identity


def run_handshake(connection: Connection, steps: HandshakeSteps) -> PeerIdentity:
    """
    Run one side of the handshake over a blocking connection.

    :param connection: The connection.
    :param steps: The side to run.
    :returns: Identity of the other side.
    :raises TimeoutError: If a message is not received within
        ``STEP_TIMEOUT_SECONDS``.
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


async def run_handshake_async(
    connection: AsyncConnection, steps: HandshakeSteps
) -> PeerIdentity:
    """
    Run one side of the handshake over an asyncio connection.

    :param connection: The connection.
    :param steps: The side to run.
    :returns: Identity of the other side.
    :raises TimeoutError: If a message is not received within
        ``STEP_TIMEOUT_SECONDS``.
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


def _expect(message_class: type[T], payload: Any) -> T:
    """
    Decode one handshake message.

    :raises MalformedMessage: If it is not a binary message of
        ``message_class``.
    """
    if not isinstance(payload, bytes):
        raise MalformedMessage(
            f"expected a binary {message_class.__name__}, got {type(payload).__name__}"
        )
    decoded = decode_message(payload)
    if not isinstance(decoded, message_class):
        raise MalformedMessage(
            f"expected {message_class.__name__}, got {type(decoded).__name__}"
        )
    return decoded
