"""Decodes versions of the configuration, each once, and activates them."""

import threading
from collections.abc import Sequence

from attrs import frozen

from waxwingwinch._exceptions import MalformedMessage
from waxwingwinch.gateway._cluster_log_lines import ConfigurationMalformed
from waxwingwinch.gateway._model import GatewayConfiguration
from waxwingwinch.gateway._options import GatewayAdapter
from waxwingwinch.gateway._state import GatewayState
from waxwingwinch.gateway._store import KeyedRecord


@frozen
class _DecodedVersion:
    """
    The version of the configuration that was decoded last.

    :param payload: The version as encoded in the store.
    :param configuration: The version.
    """

    payload: bytes
    configuration: GatewayConfiguration


class ConfigurationIntake:
    """
    Puts versions in force that arrive from the store and from peers.

    A version of 2,000 routes takes some 30 ms of processor time to decode, and
    arrives several times. May be used in any thread.

    :param state: The state of the process.
    :param adapter: Decodes the versions.
    """

    def __init__(self, state: GatewayState, adapter: GatewayAdapter) -> None:
        self._state = state
        self._adapter = adapter
        self._decoded: _DecodedVersion | None = None
        #: Offsets of versions before one of the same read that is in force.
        self._superseded_offsets: frozenset[int] = frozenset()
        self._decode_lock = threading.Lock()
        self._publish_lock = threading.Lock()

    def prepare(self, records: Sequence[KeyedRecord]) -> None:
        """
        Decode the newest version among records that are about to be applied.

        It replaces the versions before it at once, so that an instance that
        has missed several decodes one. The first version of a process is only
        decoded: it takes effect after the evacuations of its snapshot.

        :param records: Records of the configuration topic, in order.
        """
        versions = [
            record
            for record in records
            if record.key == self._adapter.configuration_key and record.value
        ]
        if not versions or not versions[-1].value:
            return
        payload = versions[-1].value
        try:
            configuration = self._decode(payload)
        except MalformedMessage:
            # It is logged when the record is applied.
            return
        known_version = self._state.table.version
        if known_version and configuration.version > known_version:
            self.put(payload)
            self._superseded_offsets = frozenset(
                record.offset for record in versions[:-1]
            )

    def apply(self, record: KeyedRecord) -> None:
        """
        Activate a version unless malformed or outdated.

        :param record: A record of the configuration key.
        """
        if record.value and record.offset not in self._superseded_offsets:
            self.put(record.value)

    def put(self, payload: bytes) -> None:
        """
        Activate a version unless malformed or outdated.

        :param payload: The version as encoded in the store.
        """
        if payload == self._state.configuration_payload:
            # Each version arrives from the store and from several peers.
            return
        try:
            configuration = self._decode(payload)
        except MalformedMessage as error:
            ConfigurationMalformed(reason=str(error)).write()
            return
        with self._publish_lock:
            if self._state.table.publish(configuration):
                self._state.configuration_payload = payload

    def _decode(self, payload: bytes) -> GatewayConfiguration:
        with self._decode_lock:
            if self._decoded is None or self._decoded.payload != payload:
                configuration = self._adapter.decode_configuration(payload)
                self._decoded = _DecodedVersion(payload, configuration)
            return self._decoded.configuration
