"""Messages between peers about configuration and withdrawn keys."""

from attrs import frozen

from waxwingwinch.codec import message
from waxwingwinch.configuration._records import ConfigurationSnapshot


@message("configuration_request")
@frozen
class ConfigurationRequest:
    """
    Requests the configuration state of a peer.

    :param known_version: Configuration version of the sender; not evaluated by
        the receiver.
    """

    known_version: int = 0


@message("configuration_reply")
@frozen
class ConfigurationReply:
    """
    Configuration state of a peer.

    :param snapshot: The state; None if the peer has no complete state.
    """

    snapshot: ConfigurationSnapshot | None


@message("withdrawal_notice")
@frozen
class WithdrawalNotice:
    """
    Notifies a peer of withdrawn keys.

    :param key_ids: Public names of the keys.
    """

    key_ids: tuple[str, ...]


@message("withdrawal_confirmation")
@frozen
class WithdrawalConfirmation:
    """
    Confirms that all keys of a notice are refused from now on.

    :param digest: Digest of all withdrawn keys known to the confirming peer.
    """

    digest: bytes


@message("withdrawal_exchange")
@frozen
class WithdrawalExchange:
    """
    Sends all withdrawn keys and requests those unknown to the sender.

    :param key_ids: All withdrawn keys known to the sender; the reply is a
        notice with the missing keys.
    """

    key_ids: tuple[str, ...]
