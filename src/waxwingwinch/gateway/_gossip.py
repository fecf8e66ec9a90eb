"""Reports that the instances send one another several times a second."""

import queue
import threading
import time
from collections import deque
from collections.abc import Callable

from attrs import field, frozen

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch._types import CustomerId, EngineRole, InstanceId, UpstreamId
from waxwingwinch.codec import message
from waxwingwinch.gateway._belief_lines import PeerLost, PeerReached
from waxwingwinch.gateway._members import Member, MemberDirectory
from waxwingwinch.gateway._requests import PromptPart
from waxwingwinch.gateway._told import ToldReports
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import PeerIdentity, PeerLink, PeerServer

#: Interval of the reports. What an instance believes of another's work is
#: at most this old, plus the way.
REPORT_SECONDS = 0.2
#: Placements of prompts that are kept until all peers were told; far more
#: than one instance makes in an interval.
PLACEMENTS_KEPT = 256
#: Urgent messages that may wait for a peer that doesn't read.
URGENT_MAX = 64
#: Interval at which the links are compared with the members; a start shares
#: limits with the others only once it hears them.
RECONCILE_SECONDS = 0.1


@message("gateway_prompt_placement")
@frozen
class PromptPlacement:
    """
    A prompt that was sent to an engine.

    :param sequence: Grows with each placement of the sender.
    :param upstream_id: The engine.
    :param part_ids: The parts that may be shared.
    :param part_tokens: Their lengths.
    """

    sequence: int
    upstream_id: UpstreamId
    part_ids: tuple[str, ...]
    part_tokens: tuple[int, ...]

    def parts(self) -> tuple[PromptPart, ...]:
        """Return the parts."""
        pairs = zip(self.part_ids, self.part_tokens, strict=True)
        return tuple(PromptPart(part_id, tokens) for part_id, tokens in pairs)


@message("gateway_stage_switch")
@frozen
class StageSwitchReport:
    """
    A change of an engine's stage under way.

    :param upstream_id: The engine.
    :param role: Its new stage.
    :param left_seconds: Time until it serves again.
    """

    upstream_id: UpstreamId
    role: EngineRole
    left_seconds: float


@message("gateway_report")
@frozen
class InstanceReport:
    """
    What an instance tells the others.

    :param instance_id: Who sends it.
    :param incarnation: Which start of it.
    :param is_ready: True if it takes callers.
    :param is_whole: False if it leaves out what it told before.
    :param configuration_version: The version in force there.
    :param held_epoch: Epoch of the duty that it holds; None if it holds none.
    :param store_age_seconds: Time since it read the platform's store; None
        if it never could.
    :param waiting_tokens: Prompt tokens to be read, by upstream.
    :param running: Requests under way, by upstream.
    :param quota_totals: Units admitted since its start, by customer.
    :param usage: Requests that began, by window and customer.
    :param unreachable: Upstreams that it could not reach lately.
    :param switching: Engines that it ordered to change their stage.
    :param placements: Recent placements of prompts.
    """

    instance_id: InstanceId
    incarnation: str
    is_ready: bool
    is_whole: bool
    configuration_version: int
    held_epoch: int | None = None
    store_age_seconds: float | None = None
    waiting_tokens: dict[UpstreamId, int] = field(factory=dict)
    running: dict[UpstreamId, int] = field(factory=dict)
    quota_totals: dict[CustomerId, float] = field(factory=dict)
    usage: dict[int, dict[CustomerId, int]] = field(factory=dict)
    unreachable: tuple[UpstreamId, ...] = ()
    switching: tuple[StageSwitchReport, ...] = ()
    placements: tuple[PromptPlacement, ...] = ()


@message("gateway_work_began")
@frozen
class WorkBegan:
    """
    Tells at once of much work at an engine, ahead of the next report.

    :param instance_id: Who sends it.
    :param upstream_id: The engine.
    :param waiting_tokens: Prompt tokens that it has to read.
    """

    instance_id: InstanceId
    upstream_id: UpstreamId
    waiting_tokens: int


@message("gateway_configuration_request")
@frozen
class ConfigurationRequest:
    """Asks a peer for the newest configuration that it read."""


@message("gateway_configuration_reply")
@frozen
class ConfigurationReply:
    """
    The newest configuration that a peer read.

    :param payload: As the store holds it; empty if it read none.
    """

    payload: bytes = field(repr=False)


class PlacementLog:
    """The recent placements of prompts of this process."""

    def __init__(self) -> None:
        self._placements: deque[PromptPlacement] = deque(maxlen=PLACEMENTS_KEPT)
        self._sequence = 0
        self._lock = threading.Lock()

    def add(self, upstream_id: UpstreamId, parts: tuple[PromptPart, ...]) -> None:
        """
        Note a placement.

        :param upstream_id: The engine.
        :param parts: The parts that may be shared.
        """
        with self._lock:
            self._sequence += 1
            self._placements.append(
                PromptPlacement(
                    self._sequence,
                    upstream_id,
                    tuple(part.part_id for part in parts),
                    tuple(part.tokens for part in parts),
                )
            )

    def after(self, sequence: int) -> tuple[PromptPlacement, ...]:
        """
        Return the placements after a position.

        :param sequence: The last one that is known already.
        """
        with self._lock:
            return tuple(
                placement
                for placement in self._placements
                if placement.sequence > sequence
            )


#: Builds the next report for a peer, given what it was told.
ReportSource = Callable[[ToldReports], InstanceReport]


class _PeerSender:
    """
    Sends reports to one peer, in one thread.

    :param link: The link to the peer.
    :param make_report: Builds each report.
    """

    def __init__(self, link: PeerLink, make_report: ReportSource) -> None:
        self.link = link
        self._make_report = make_report
        self._urgent: queue.Queue[WorkBegan] = queue.Queue(URGENT_MAX)
        self._stopping = threading.Event()
        self._is_up = False
        self._told = ToldReports()
        self._connection_number = 0
        self._thread = threading.Thread(
            target=self._run, name=f"report-{link.address}", daemon=True
        )

    def start(self) -> None:
        """Dial the peer and start sending."""
        self.link.start()
        self._thread.start()

    def stop(self) -> None:
        """End the thread and the link without waiting for the peer."""
        self._stopping.set()
        threading.Thread(target=self.link.stop, daemon=True).start()

    def put(self, message: WorkBegan) -> None:
        """
        Send a message before the next report, unless too many wait.

        :param message: The message.
        """
        try:
            self._urgent.put_nowait(message)
        except queue.Full:
            # The next report tells the same.
            return

    def _run(self) -> None:
        due_seconds = time.monotonic()
        while not self._stopping.is_set():
            try:
                left_seconds = max(due_seconds - time.monotonic(), 0.0)
                self._send_urgent(self._urgent.get(timeout=left_seconds))
            except queue.Empty:
                due_seconds = time.monotonic() + REPORT_SECONDS
                self._report()

    def _send_urgent(self, began: WorkBegan) -> None:
        self._told.announced(began.upstream_id)
        self._send(began)

    def _report(self) -> None:
        connection_number = self.link.connections_made
        if connection_number != self._connection_number:
            self._connection_number = connection_number
            self._told.forget()
        report = self._make_report(self._told)
        if not self._send(report):
            self._told.forget()
        elif report.placements:
            self._told.sequence = report.placements[-1].sequence

    def _send(self, message: object) -> bool:
        """Send a message; return whether the link took it."""
        try:
            self.link.send(message)
        except PeerUnavailable as error:
            if self._is_up:
                self._is_up = False
                PeerLost(address=str(self.link.address), reason=str(error)).write()
            return False
        if not self._is_up:
            self._is_up = True
            PeerReached(address=str(self.link.address)).write()
        return True


class Gossip:
    """
    Keeps a link to each other instance and sends reports over it.

    :param members: The instances.
    :param identity: Who this process is.
    :param secret: Shared by all instances of the deployment.
    :param clock: Source of the present time.
    :param make_report: Builds each report.
    """

    def __init__(
        self,
        members: MemberDirectory,
        identity: PeerIdentity,
        secret: str,
        clock: Clock,
        make_report: ReportSource,
    ) -> None:
        self._members = members
        self._identity = identity
        self._secret = secret
        self._clock = clock
        self._make_report = make_report
        self._senders: dict[Member, _PeerSender] = {}
        self._server = PeerServer(members.own.peer_address, identity, [secret])
        self._thread = threading.Thread(target=self._run, name="gossip", daemon=True)

    def on_report(self, handle: Callable[[InstanceReport], None]) -> None:
        """
        Register what is done with the reports of peers.

        :param handle: Called from the thread of the peer's connection.
        """

        def handler(_: PeerIdentity, report: InstanceReport) -> None:
            handle(report)

        self._server.handle(InstanceReport, handler)

    def on_configuration_request(self, current: Callable[[], bytes]) -> None:
        """
        Register who knows the newest configuration.

        :param current: Returns it as the store holds it.
        """

        def handler(_: PeerIdentity, __: ConfigurationRequest) -> ConfigurationReply:
            return ConfigurationReply(current())

        self._server.handle(ConfigurationRequest, handler)

    def on_work(self, handle: Callable[[str, UpstreamId, int], None]) -> None:
        """
        Register what is done with work that peers begin.

        :param handle: Called with the peer, the engine and the tokens.
        """

        def handler(_: PeerIdentity, began: WorkBegan) -> None:
            handle(began.instance_id, began.upstream_id, began.waiting_tokens)

        self._server.handle(WorkBegan, handler)

    def announce(self, upstream_id: UpstreamId, waiting_tokens: int) -> None:
        """
        Tell all peers of work that begins here.

        :param upstream_id: The engine.
        :param waiting_tokens: Prompt tokens that it has to read.
        """
        own_id = self._members.own.instance_id
        for sender in list(self._senders.values()):
            sender.put(WorkBegan(own_id, upstream_id, waiting_tokens))

    def start(self) -> None:
        """Serve peers and dial them."""
        self._server.start()
        self._thread.start()

    def ask_configuration(self, peer: InstanceId, timeout_seconds: float) -> bytes:
        """
        Ask a peer for the newest configuration.

        :param peer: The instance.
        :param timeout_seconds: Longest wait.
        :raises PeerUnavailable: If it did not answer.
        """
        for member, sender in list(self._senders.items()):
            if member.instance_id == peer:
                reply = sender.link.request(ConfigurationRequest(), timeout_seconds)
                if isinstance(reply, ConfigurationReply):
                    return reply.payload
        raise PeerUnavailable(f"no link to {peer}")

    def _run(self) -> None:
        pause = threading.Event()
        while True:
            self._reconcile()
            pause.wait(RECONCILE_SECONDS)

    def _reconcile(self) -> None:
        wanted = set(self._members.others())
        for member in set(self._senders) - wanted:
            self._senders.pop(member).stop()
        for member in wanted - set(self._senders):
            link = PeerLink(member.peer_address, self._identity, [self._secret])
            sender = _PeerSender(link, self._make_report)
            self._senders[member] = sender
            sender.start()
