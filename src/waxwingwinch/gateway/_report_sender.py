"""Telling the neighbours what has changed."""

from collections.abc import Iterable
from typing import Protocol

from attrs import evolve

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch._types import Address
from waxwingwinch.gateway._cluster_log_lines import PeerLost, PeerReached
from waxwingwinch.gateway._report_messages import InstanceReport, WorkBegan
from waxwingwinch.gateway._told import ToldReports
from waxwingwinch.peers import encode_notice


class ReportLink(Protocol):
    """What a sender of reports needs of a link."""

    address: Address
    connections_made: int

    def send(self, notice: bytes) -> None:
        """
        Send an encoded message.

        :param notice: The message.
        :raises PeerUnavailable: If the link is down.
        """


class PeerSender:
    """
    Tells one peer what has changed, or everything after a lost report.

    :param link: The link to the peer.
    """

    def __init__(self, link: ReportLink) -> None:
        self._link = link
        self._is_up = False
        self._knows_last = False
        self._connection_number = 0
        self._placement_sequence = 0

    def report(self, whole: InstanceReport, changes: bytes) -> None:
        """
        Send a report.

        :param whole: All that there is to tell.
        :param changes: The encoded report of what has changed since the one
            before.
        """
        connection_number = self._link.connections_made
        if self._knows_last and connection_number == self._connection_number:
            notice = changes
        else:
            self._connection_number = connection_number
            notice = encode_notice(self._whole_report(whole))
        self._knows_last = self.send(notice)
        if self._knows_last and whole.placements:
            self._placement_sequence = whole.placements[-1].sequence

    def send(self, notice: bytes) -> bool:
        """
        Send a message; return whether the link took it.

        :param notice: The encoded message.
        """
        try:
            self._link.send(notice)
        except PeerUnavailable as error:
            if self._is_up:
                self._is_up = False
                PeerLost(address=str(self._link.address), reason=str(error)).write()
            return False
        if not self._is_up:
            self._is_up = True
            PeerReached(address=str(self._link.address)).write()
        return True

    def _whole_report(self, whole: InstanceReport) -> InstanceReport:
        return evolve(
            whole,
            placements=tuple(
                one
                for one in whole.placements
                if one.sequence > self._placement_sequence
            ),
        )


class Broadcast:
    """Sends the same reports to all neighbours, each encoded once."""

    def __init__(self) -> None:
        self._told = ToldReports()

    def report(self, whole: InstanceReport, senders: Iterable[PeerSender]) -> None:
        """
        Report to all neighbours.

        :param whole: All that there is to tell.
        :param senders: Those of the neighbours.
        """
        changes = encode_notice(self._told.reduce(whole))
        for sender in senders:
            sender.report(whole, changes)

    def announce(self, began: WorkBegan, senders: Iterable[PeerSender]) -> None:
        """
        Tell of work ahead of the next report.

        :param began: The work.
        :param senders: Those of the neighbours.
        """
        self._told.announced(began.upstream_id)
        notice = encode_notice(began)
        for sender in senders:
            sender.send(notice)
