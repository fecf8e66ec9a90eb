"""
The running configuration service of a process.

It stands apart from :mod:`waxwingwinch.configuration`, which
:mod:`waxwingwinch.contracts` imports, since it implements a contract itself.
"""

from waxwingwinch.configuration.service._acceptance import (
    WithdrawalProgress,
    next_progress,
)
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
    SnapshotDuty,
    adopt_from_peers,
)

__all__ = [
    "AcceptedChange",
    "ConfigurationHandlers",
    "ConfigurationService",
    "PeerRequester",
    "Published",
    "SnapshotDuty",
    "WithdrawalCoordinator",
    "WithdrawalPeers",
    "WithdrawalProgress",
    "adopt_from_peers",
    "next_progress",
]
