"""Reading what another cell has under way, through one of its instances."""

import asyncio
from collections.abc import Callable

from waxwingwinch._exceptions import MalformedMessage, PeerUnavailable
from waxwingwinch.gateway._belief_lines import CellLost, CellReached
from waxwingwinch.gateway._cells import Cell
from waxwingwinch.gateway._digest_packing import unpack_digest
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._report_messages import Digest, DigestRequest, PackedDigest
from waxwingwinch.kernel import Clock
from waxwingwinch.peers import HubLink, PeerHub

#: Interval of the digests. With that of the reports, what is believed of
#: another cell is half as old as silence has to be.
DIGEST_SECONDS = 0.8
#: Longest wait for a digest, the time to connect included; a quarter of the
#: silence after which the cell's instances would be given up.
DIGEST_WAIT_SECONDS = 0.6
#: Time for which an instance that hears little of its cell is kept, so that
#: a cell that is down is not asked through a new one all the time.
FEW_HEARD_SECONDS = 2.0
#: Pause after all instances of a cell were asked in vain.
ALL_FAILED_PAUSE_SECONDS = 1.0

#: Takes a digest with the instance that sent it and the link to it.
DigestHandler = Callable[[Digest, Member, HubLink], None]


class CellReader:
    """
    Reads the digests of a cell.

    It lives in the hub's thread.

    :param hub: Dials the cell's instances.
    :param cell: The cell.
    :param members: Its instances, in the order in which they are asked.
    :param known_placements: Returns the sequence of the last placement that
        is known, by start of an instance.
    :param handle: Takes each digest.
    :param clock: Source of the present time.
    """

    def __init__(
        self,
        hub: PeerHub,
        cell: Cell,
        members: tuple[Member, ...],
        known_placements: Callable[[], dict[str, int]],
        handle: DigestHandler,
        clock: Clock,
    ) -> None:
        self._hub = hub
        self._cell = cell
        self._members = members
        self._known_placements = known_placements
        self._handle = handle
        self._clock = clock
        self._number = 0
        self._failures = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start reading."""
        self._task = self._hub.spawn(self._run())

    def stop(self) -> None:
        """Read no more."""
        if self._task is not None:
            self._task.cancel()

    def follow(self, members: tuple[Member, ...]) -> None:
        """
        Take in which instances the cell has now.

        :param members: The instances, in the order in which they are asked.
        """
        if members != self._members:
            self._members = members
            # One that changed its cell may have been told of in two ways.
            self._number = 0

    async def _run(self) -> None:
        place = 0
        while True:
            member = self._members[place % len(self._members)]
            link = self._hub.dial(member.peer_address)
            try:
                await self._read(member, link)
            finally:
                link.stop()
            place += 1
            if self._failures >= len(self._members):
                self._failures = 0
                await asyncio.sleep(ALL_FAILED_PAUSE_SECONDS)

    async def _read(self, member: Member, link: HubLink) -> None:
        """Read digests from one instance for as long as it serves well."""
        self._number = 0
        started_seconds = self._clock.now_seconds()
        is_up = False
        while member in self._members:
            asked_seconds, members = self._clock.now_seconds(), self._members
            try:
                digest = await self._ask(link)
            except (PeerUnavailable, MalformedMessage) as error:
                self._failures += 1
                if is_up:
                    self._write_lost(member, str(error))
                return
            self._failures = 0
            self._number = digest.number if members is self._members else 0
            self._handle(digest, member, link)
            now_seconds = self._clock.now_seconds()
            if not is_up:
                is_up = True
                self._write_reached(member, digest)
            elif now_seconds - started_seconds >= FEW_HEARD_SECONDS and len(
                digest.reports
            ) * 2 < len(self._members):
                self._write_lost(member, "hears less than half of its cell")
                return
            await asyncio.sleep(max(asked_seconds + DIGEST_SECONDS - now_seconds, 0.0))

    async def _ask(self, link: HubLink) -> Digest:
        known = self._known_placements() if self._number == 0 else {}
        request = DigestRequest(self._number, known)
        packed = await link.request(request, DIGEST_WAIT_SECONDS)
        if not isinstance(packed, PackedDigest):
            raise MalformedMessage("expected a digest")
        return unpack_digest(packed)

    def _write_reached(self, member: Member, digest: Digest) -> None:
        CellReached(
            zone=self._cell.zone,
            number=self._cell.number,
            address=str(member.peer_address),
            instances=len(digest.reports),
        ).write()

    def _write_lost(self, member: Member, reason: str) -> None:
        CellLost(
            zone=self._cell.zone,
            number=self._cell.number,
            address=str(member.peer_address),
            reason=reason,
        ).write()
