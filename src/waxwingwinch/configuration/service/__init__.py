"""
The configuration service of a running process.

It is separate from :mod:`waxwingwinch.configuration`, since it implements a
contract of :mod:`waxwingwinch.contracts`, which itself imports
:mod:`waxwingwinch.configuration`.
"""

from waxwingwinch.configuration.service._coordinator import (
    WithdrawalCoordinator,
    WithdrawalPeers,
)
from waxwingwinch.configuration.service._handlers import ConfigurationHandlers
from waxwingwinch.configuration.service._outcomes import AcceptedChange
from waxwingwinch.configuration.service._publishing import Published
from waxwingwinch.configuration.service._service import ConfigurationService
from waxwingwinch.configuration.service._snapshots import (
    PeerRequester,
    SnapshotAppender,
    adopt_from_peers,
)
from waxwingwinch.configuration.service._withdrawal_progress import (
    WithdrawalProgress,
    next_progress,
)

__all__ = [
    "AcceptedChange",
    "ConfigurationHandlers",
    "ConfigurationService",
    "PeerRequester",
    "Published",
    "SnapshotAppender",
    "WithdrawalCoordinator",
    "WithdrawalPeers",
    "WithdrawalProgress",
    "adopt_from_peers",
    "next_progress",
]
