"""Messages between peers about configuration and withdrawn keys."""

from attrs import frozen

from waxwingwinch.codec import message
from waxwingwinch.configuration._records import ConfigurationSnapshot


@message("configuration_request")
@frozen
class ConfigurationRequest:
    """
    Asks a peer for its state.

    :param known_version: Version that the asking process has.
    """

    known_version: int = 0


@message("configuration_reply")
@frozen
class ConfigurationReply:
    """
    State of a peer.

    :param snapshot: None if the peer has none itself.
    """

    snapshot: ConfigurationSnapshot | None


@message("withdrawal_notice")
@frozen
class WithdrawalNotice:
    """
    Tells a peer of withdrawn keys.

    :param key_ids: Public names of the keys.
    """

    key_ids: tuple[str, ...]


@message("withdrawal_confirmation")
@frozen
class WithdrawalConfirmation:
    """
    Says that all keys of a notice are refused from now on.

    :param digest: Digest of all withdrawn keys known to the peer.
    """

    digest: bytes


@message("withdrawal_exchange")
@frozen
class WithdrawalExchange:
    """
    Tells a peer of all withdrawn keys and asks for the missing ones.

    :param key_ids: All that the sender knows; the reply is a notice with
        those that it doesn't.
    """

    key_ids: tuple[str, ...]
