"""Handlers of peer messages about the configuration and withdrawn keys."""

from waxwingwinch.configuration import (
    ConfigurationReply,
    ConfigurationRequest,
    WithdrawalConfirmation,
    WithdrawalExchange,
    WithdrawalNotice,
)
from waxwingwinch.configuration.service._service import ConfigurationService
from waxwingwinch.peers import PeerIdentity, PeerServer


class ConfigurationHandlers:
    """
    Peer message handlers of one process.

    :param service: The configuration service.
    """

    def __init__(self, service: ConfigurationService) -> None:
        self._service = service

    def register(self, server: PeerServer) -> None:
        """
        Register all handlers.

        :param server: Peer server of this process.
        """
        server.handle(ConfigurationRequest, self.handle_configuration_request)
        server.handle(WithdrawalNotice, self.handle_withdrawal_notice)
        server.handle(WithdrawalExchange, self.handle_withdrawal_exchange)

    def handle_configuration_request(
        self, peer: PeerIdentity, request: ConfigurationRequest
    ) -> ConfigurationReply:
        """
        Return the configuration state of this process.

        :param peer: The requesting peer.
        :param request: The request.
        """
        return ConfigurationReply(self._service.snapshot())

    def handle_withdrawal_notice(
        self, peer: PeerIdentity, notice: WithdrawalNotice
    ) -> WithdrawalConfirmation:
        """
        Refuse the keys of a notice from now on and confirm this.

        :param peer: The notifying peer.
        :param notice: The notice.
        """
        self._service.merge_withdrawals(notice.key_ids)
        return WithdrawalConfirmation(self._service.withdrawals_digest())

    def handle_withdrawal_exchange(
        self, peer: PeerIdentity, exchange: WithdrawalExchange
    ) -> WithdrawalNotice:
        """
        Merge a peer's withdrawals and return those unknown to the peer.

        :param peer: The requesting peer.
        :param exchange: All withdrawals known to the peer.
        """
        self._service.merge_withdrawals(exchange.key_ids)
        missing = self._service.withdrawn_key_ids() - frozenset(exchange.key_ids)
        return WithdrawalNotice(tuple(sorted(missing)))
