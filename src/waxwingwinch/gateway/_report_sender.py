"""Sending of reports to the neighbours."""

from collections.abc import Iterable
from typing import Protocol

from attrs import evolve

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch._types import Address
from waxwingwinch.gateway._cluster_log_lines import PeerLost, PeerReached
from waxwingwinch.gateway._report_deltas import DeltaTracker
from waxwingwinch.gateway._report_messages import InstanceReport, WorkAnnouncement
from waxwingwinch.peers import encode_one_way


class ReportLink(Protocol):
    """Interface of a link for a sender of reports."""

    address: Address
    connections_made: int

    def send(self, notice: bytes) -> None:
        """
        Send an encoded message.

        :param notice: The message.
        :raises PeerUnavailable: If the link is down.
        """


class ReportSender:
    """
    Sends one peer delta reports, or a full report after a loss or
    reconnection.

    :param link: The link to the peer.
    """

    def __init__(self, link: ReportLink) -> None:
        self._link = link
        self._is_up = False
        self._has_last_report = False
        self._connection_number = 0
        self._placement_sequence = 0

    def report(self, full_report: InstanceReport, delta: bytes) -> None:
        """
        Send a report.

        :param full_report: The full report.
        :param delta: The encoded delta to the previous report.
        """
        connection_number = self._link.connections_made
        if self._has_last_report and connection_number == self._connection_number:
            notice = delta
        else:
            self._connection_number = connection_number
            notice = encode_one_way(self._full_report(full_report))
        self._has_last_report = self.send(notice)
        if self._has_last_report and full_report.placements:
            self._placement_sequence = full_report.placements[-1].sequence

    def send(self, notice: bytes) -> bool:
        """
        Send a message; return whether the link accepted it.

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

    def _full_report(self, full_report: InstanceReport) -> InstanceReport:
        return evolve(
            full_report,
            placements=tuple(
                placement
                for placement in full_report.placements
                if placement.sequence > self._placement_sequence
            ),
        )


class ReportBroadcaster:
    """Sends the same reports to all neighbours, each encoded once."""

    def __init__(self) -> None:
        self._delta_tracker = DeltaTracker()

    def report(
        self, full_report: InstanceReport, senders: Iterable[ReportSender]
    ) -> None:
        """
        Report to all neighbours.

        :param full_report: The full report.
        :param senders: Senders to the neighbours.
        """
        delta = encode_one_way(self._delta_tracker.make_delta(full_report))
        for sender in senders:
            sender.report(full_report, delta)

    def announce(
        self, announcement: WorkAnnouncement, senders: Iterable[ReportSender]
    ) -> None:
        """
        Announce work ahead of the next report.

        :param announcement: The work.
        :param senders: Senders to the neighbours.
        """
        self._delta_tracker.mark_announced(announcement.upstream_id)
        notice = encode_one_way(announcement)
        for sender in senders:
            sender.send(notice)
