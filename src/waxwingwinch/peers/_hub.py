"""Server and links to many peers in one thread, on an asyncio event loop."""

import asyncio
import threading
from collections.abc import Callable, Coroutine, Sequence
from functools import partial
from typing import Any

import eliot
from attrs import define, field
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch._types import Address
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.kernel import (
    BIND_RETRY_SECONDS,
    is_port_in_use,
    log_port_in_use,
)
from waxwingwinch.peers._frames import NO_REPLY, Frame, decode_frame
from waxwingwinch.peers._handlers import Handler, HandlerTable
from waxwingwinch.peers._handshake import (
    PeerIdentity,
    PeerRejected,
    client_handshake,
    run_handshake_async,
    server_handshake,
)
from waxwingwinch.peers._options import (
    DIAL_OPTIONS,
    MIN_REDIAL_PAUSE_SECONDS,
    OPEN_TIMEOUT_SECONDS,
    SERVE_OPTIONS,
    next_redial_pause_seconds,
)
from waxwingwinch.peers._unauthenticated import (
    BoundedServerConnection,
    UnauthenticatedConnections,
)

#: Most frames queued for a peer that does not read its connection; as many as
#: one process sends to another within some seconds.
MAX_BACKLOG_FRAMES = 256


@define(eq=False)
class _OpenConnection:
    """
    A connection to an authenticated peer.

    :param connection: The connection.
    :param backlog: Encoded frames to send.
    """

    connection: Connection
    backlog: asyncio.Queue[bytes] = field(
        factory=lambda: asyncio.Queue(MAX_BACKLOG_FRAMES), repr=False
    )

    async def write(self) -> None:
        """Send frames from the backlog until the connection ends."""
        while True:
            await self.connection.send(await self.backlog.get())


class HubLink:
    """
    Sends messages and requests to one peer, redialing when the link breaks.

    Its methods must be called in the thread of the hub.

    :param address: Address of the peer's server.
    :param identity: Identity of this process.
    :param shared_secrets: Accepted secrets.
    """

    def __init__(
        self,
        address: Address,
        identity: PeerIdentity,
        shared_secrets: Sequence[str],
    ) -> None:
        #: Address of the peer's server.
        self.address = address
        #: Number of connections so far; messages sent over earlier connections
        #: may be lost.
        self.connections_made = 0
        self._identity = identity
        self._shared_secrets = tuple(shared_secrets)
        self._open: _OpenConnection | None = None
        self._is_connected = asyncio.Event()
        self._pending_replies: dict[int, asyncio.Future[bytes]] = {}
        self._next_correlation = NO_REPLY + 1
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start dialing."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Close the link without waiting for the peer."""
        if self._task is not None:
            self._task.cancel()

    def send(self, encoded_message: bytes) -> None:
        """
        Send a message that expects no reply.

        :param encoded_message: The message as ``encode_one_way`` encodes it.
        :raises PeerUnavailable: If the link is down or the backlog is full;
            a message that was queued may still be lost.
        """
        self._enqueue(encoded_message)

    async def request(self, body: object, timeout_seconds: float) -> Any:
        """
        Send a message and wait for its reply.

        :param body: The message.
        :param timeout_seconds: Longest wait for the link and the reply
            together.
        :returns: The decoded reply; None if the reply only acknowledges.
        :raises PeerUnavailable: If no reply was received.
        :raises MalformedMessage: If the reply can't be decoded.
        """
        correlation = self._next_correlation
        self._next_correlation += 1
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._is_connected.wait()
                reply: asyncio.Future[bytes] = asyncio.Future()
                self._pending_replies[correlation] = reply
                self._enqueue(encode_message(Frame(correlation, encode_message(body))))
                payload = await reply
        except TimeoutError as error:
            raise PeerUnavailable(
                f"no link or no reply from {self.address} within {timeout_seconds} s"
            ) from error
        finally:
            self._pending_replies.pop(correlation, None)
        return decode_message(payload) if payload else None

    def _enqueue(self, frame: bytes) -> None:
        opened = self._open
        if opened is None:
            raise PeerUnavailable(f"no link to {self.address}")
        try:
            opened.backlog.put_nowait(frame)
        except asyncio.QueueFull as error:
            opened.connection.transport.abort()
            raise PeerUnavailable(
                f"backlog of {self.address} is full: peer does not read"
            ) from error

    async def _run(self) -> None:
        pause_seconds = MIN_REDIAL_PAUSE_SECONDS
        while True:
            was_connected = await self._dial_and_receive()
            pause_seconds = next_redial_pause_seconds(pause_seconds, was_connected)
            await asyncio.sleep(pause_seconds)

    async def _dial_and_receive(self) -> bool:
        """Use one connection until it breaks; return whether it was made."""
        was_connected = False
        try:
            async with connect(f"ws://{self.address}", **DIAL_OPTIONS) as connection:
                steps = client_handshake(self._identity, self._shared_secrets)
                await run_handshake_async(connection, steps)
                was_connected = True
                await self._receive_replies(connection)
        except (WebSocketException, OSError, TimeoutError):
            # _run() dials again; senders get PeerUnavailable until then.
            pass
        except (PeerRejected, MalformedMessage) as error:
            eliot.log_message(
                "peer:rejected", address=str(self.address), reason=str(error)
            )
        return was_connected

    async def _receive_replies(self, connection: Connection) -> None:
        opened = _OpenConnection(connection)
        writer = asyncio.get_running_loop().create_task(opened.write())
        self._open = opened
        self.connections_made += 1
        self._is_connected.set()
        try:
            async for payload in connection:
                frame = decode_frame(payload)
                pending = self._pending_replies.get(frame.correlation)
                if pending is not None and not pending.done():
                    pending.set_result(frame.payload)
        finally:
            self._open = None
            self._is_connected.clear()
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            self._fail_pending_replies()

    def _fail_pending_replies(self) -> None:
        for pending in self._pending_replies.values():
            if not pending.done():
                pending.set_exception(PeerUnavailable(f"link to {self.address} broke"))


class PeerHub:
    """
    Serves peers and dials them, all in one thread.

    :param address: Address to listen on.
    :param identity: Identity of this process.
    :param shared_secrets: Accepted secrets; the first is used to sign.
    :param waits_for_port: True to wait while another process uses the port.
    """

    def __init__(
        self,
        address: Address,
        identity: PeerIdentity,
        shared_secrets: Sequence[str],
        waits_for_port: bool = False,
    ) -> None:
        self._address = address
        self._identity = identity
        self._waits_for_port = waits_for_port
        # Shared with the links, which use it at their next handshake.
        self._shared_secrets = list(shared_secrets)
        self._handlers = HandlerTable()
        self._unauthenticated = UnauthenticatedConnections()
        self._loop = asyncio.new_event_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped: asyncio.Event | None = None
        self._is_started = threading.Event()
        self._failure: OSError | None = None
        self._thread = threading.Thread(
            target=self._run_thread, name="peer-hub", daemon=True
        )

    def handle(self, message_class: type, handler: Handler) -> None:
        """
        Register the handler of a message class.

        :param message_class: Class of the messages to handle.
        :param handler: Called in the hub's thread; it must not block.
        """
        self._handlers.handle(message_class, handler)

    def start(self) -> None:
        """
        Start the thread and listen.

        :raises OSError: If listening on the address fails.
        """
        self._thread.start()
        self._is_started.wait()
        if self._failure is not None:
            raise self._failure

    def stop(self) -> None:
        """Close all connections and end the thread."""
        stopped = self._stopped
        if stopped is not None:
            self.call(stopped.set)
        self._thread.join()

    def add_secret(self, secret: str) -> None:
        """
        Use another secret to sign; those before are still accepted.

        :param secret: The secret.
        """
        self._shared_secrets.insert(0, secret)

    def call(self, function: Callable[..., None], *arguments: Any) -> None:
        """
        Call a function in the hub's thread, without waiting for it.

        :param function: The function; it must not block.
        :param arguments: Its arguments.
        """
        self._loop.call_soon_threadsafe(function, *arguments)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """
        Start a task in the hub's event loop; called in the hub's thread.

        An exception of the task is logged as ``peer:work_failed``.

        :param coroutine: The coroutine to run.
        """
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def dial(self, address: Address) -> HubLink:
        """
        Return a started link to a peer; called in the hub's thread.

        :param address: Address of the peer's server.
        """
        link = HubLink(address, self._identity, self._shared_secrets)
        link.start()
        return link

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            eliot.log_message("peer:work_failed", reason=repr(task.exception()))

    def _run_thread(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._serve())
        pending = asyncio.all_tasks(self._loop)
        for task in pending:
            task.cancel()
        self._loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        self._loop.close()

    async def _serve(self) -> None:
        stopped = asyncio.Event()
        try:
            server = await self._listen()
        except OSError as error:
            self._failure = error
            self._is_started.set()
            return
        self._stopped = stopped
        self._is_started.set()
        async with server:
            await stopped.wait()

    async def _listen(self) -> Server:
        attempts = 0
        while True:
            try:
                return await serve(
                    self._serve_peer,
                    self._address.host,
                    self._address.port,
                    open_timeout=OPEN_TIMEOUT_SECONDS,
                    create_connection=partial(  # type: ignore[arg-type]
                        BoundedServerConnection,
                        unauthenticated=self._unauthenticated,
                    ),
                    **SERVE_OPTIONS,
                )
            except OSError as error:
                if not (self._waits_for_port and is_port_in_use(error)):
                    raise
                log_port_in_use(str(self._address), attempts)
            attempts += 1
            await asyncio.sleep(BIND_RETRY_SECONDS)

    async def _serve_peer(self, connection: Any) -> None:
        try:
            steps = server_handshake(self._identity, self._shared_secrets)
            peer = await run_handshake_async(connection, steps)
            connection.note_authenticated()
            async for payload in connection:
                reply = self._handlers.dispatch(peer, payload)
                if reply is not None:
                    await connection.send(reply)
        except (PeerRejected, MalformedMessage, TimeoutError) as error:
            eliot.log_message("peer:rejected", reason=str(error))
        except ConnectionClosed:
            # The peer redials if it needs the link.
            pass
