"""Answers to the messages of peers about the configuration."""

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
    Handlers of one process.

    :param service: The configuration.
    """

    def __init__(self, service: ConfigurationService) -> None:
        self._service = service

    def register(self, server: PeerServer) -> None:
        """
        Register all handlers.

        :param server: The server of this process.
        """
        server.handle(ConfigurationRequest, self.handle_configuration_request)
        server.handle(WithdrawalNotice, self.handle_withdrawal_notice)
        server.handle(WithdrawalExchange, self.handle_withdrawal_exchange)

    def handle_configuration_request(
        self, peer: PeerIdentity, request: ConfigurationRequest
    ) -> ConfigurationReply:
        """
        Give a peer the state of this process.

        :param peer: Who asks.
        :param request: The request.
        """
        return ConfigurationReply(self._service.snapshot())

    def handle_withdrawal_notice(
        self, peer: PeerIdentity, notice: WithdrawalNotice
    ) -> WithdrawalConfirmation:
        """
        Refuse the keys of a notice from now on, and say so.

        :param peer: Who tells.
        :param notice: The notice.
        """
        self._service.merge_withdrawals(notice.key_ids)
        return WithdrawalConfirmation(self._service.withdrawals_digest())

    def handle_withdrawal_exchange(
        self, peer: PeerIdentity, exchange: WithdrawalExchange
    ) -> WithdrawalNotice:
        """
        Merge a peer's withdrawals and return those that it misses.

        :param peer: Who asks.
        :param exchange: All that the peer knows.
        """
        self._service.merge_withdrawals(exchange.key_ids)
        missing = self._service.withdrawn_key_ids() - frozenset(exchange.key_ids)
        return WithdrawalNotice(tuple(sorted(missing)))
