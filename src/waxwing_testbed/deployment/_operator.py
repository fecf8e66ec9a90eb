"""An operator of a test deployment."""

import pathlib
import uuid
from collections.abc import Sequence

from waxwing_testbed.deployment._settings_files import OPERATOR_TOKEN
from waxwingwinch._types import Address
from waxwingwinch.configuration import Change, ReplaceConfiguration, wrap_change
from waxwingwinch.operators import OperatorClient
from waxwingwinch.operators_api import (
    ChangeRequest,
    ConfigurationView,
    DrainedView,
    PublishedView,
    StatusView,
    WithdrawalView,
    WithdrawRequest,
)
from waxwingwinch.settings import load_configuration


class TestOperator:
    """
    Publishes changes and withdraws keys through entries.

    :param entries: Entries to ask, tried in order.
    """

    #: Keeps pytest from taking the class for a test.
    __test__ = False

    def __init__(self, entries: Sequence[Address]) -> None:
        self._client = OperatorClient([str(entry) for entry in entries], OPERATOR_TOKEN)

    def configuration(self) -> ConfigurationView:
        """Return the configuration in force."""
        return self._client.get("configuration", ConfigurationView)

    def status(self) -> StatusView:
        """Return the state of the asked instance."""
        return self._client.get("status", StatusView)

    def publish(
        self,
        changes: Sequence[Change],
        supersedes_version: int | None = None,
        change_id: str = "",
    ) -> int:
        """
        Publish changes.

        :param changes: What to change.
        :param supersedes_version: Version they were made for; None for the
            present one.
        :param change_id: Unique name; the same in a retry. Empty for a new
            one.
        :returns: The new version.
        """
        if supersedes_version is None:
            supersedes_version = self.configuration().version
        request = ChangeRequest(
            supersedes_version,
            change_id or uuid.uuid4().hex,
            "for a test",
            tuple(wrap_change(change) for change in changes),
        )
        return self._client.post("changes", request, PublishedView).version

    def publish_document(self, path: pathlib.Path) -> int:
        """
        Replace the configuration by that of a file.

        :param path: A configuration document.
        :returns: The new version.
        """
        return self.publish([ReplaceConfiguration(load_configuration(path))])

    def withdraw(self, key_id: str) -> WithdrawalView:
        """
        Begin the withdrawal of a key.

        :param key_id: Public name of the key.
        """
        request = WithdrawRequest(key_id, "for a test")
        return self._client.post("withdrawals", request, WithdrawalView)

    def withdrawal(self, key_id: str) -> WithdrawalView:
        """
        Return how far a withdrawal has come.

        :param key_id: Public name of the key.
        """
        return self._client.get("withdrawals", WithdrawalView, key_id)

    def drain(self) -> DrainedView:
        """Begin the planned stop of the first entry."""
        return self._client.post("drain", None, DrainedView)
