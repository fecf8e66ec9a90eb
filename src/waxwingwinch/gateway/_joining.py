"""Member records and the shared secret, which instances keep in the store."""

import secrets
import threading
import time
from collections.abc import Callable
from typing import TypeVar

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import InstanceId
from waxwingwinch.codec import encode_message
from waxwingwinch.gateway._cluster_log_lines import StoreUnanswered
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._process_log_lines import (
    GatewayNotWithdrawn,
    MemberRewritten,
    SecretExists,
    SecretReplaced,
)
from waxwingwinch.gateway._store import AppendConflict, PlatformStore

#: Topic of the member records.
MEMBERS_TOPIC = "members"
#: Topic of the secret shared by the instances.
SECRET_TOPIC = "peer-secret"
#: Key of the shared secret.
SECRET_KEY = "secret"
#: Pause before a store call that a start depends on is retried.
RETRY_PAUSE_SECONDS = 0.2
#: Attempts to remove this instance's member record; writes of other instances
#: that stop or start at the same time make an attempt fail.
WITHDRAW_ATTEMPTS = 4
#: Pause before records of this instance are written once more.
REWRITE_PAUSE_SECONDS = 1.0
#: Length of the secret in bytes.
SECRET_BYTES = 16

T = TypeVar("T")


def ensure_shared_secret(store: PlatformStore, known_secret: str | None = None) -> str:
    """
    Return the secret shared by all instances; create it if there is none.

    :param store: The platform's store.
    :param known_secret: The secret to write if there is none; None for a new
        one.
    """
    proposal = (known_secret or secrets.token_hex(SECRET_BYTES)).encode()

    def read_or_propose() -> str:
        try:
            store.put(SECRET_TOPIC, SECRET_KEY, proposal, at_offset=0)
        except AppendConflict:
            SecretExists().write()
        for record in store.snapshot(SECRET_TOPIC).records:
            if record.key == SECRET_KEY and record.value is not None:
                return record.value.decode()
        raise PlatformUnavailable(
            'no record with key "secret" in topic "peer-secret" of the store', False
        )

    return _retry_until_answered(read_or_propose)


def publish_member(store: PlatformStore, member: Member) -> None:
    """
    Write this instance's member record.

    :param store: The platform's store.
    :param member: The record.
    """
    payload = encode_message(member)
    _retry_until_answered(lambda: store.put(MEMBERS_TOPIC, member.instance_id, payload))


class OwnRecords:
    """
    Writes the records of this instance again if the store has lost them.

    :param store: The platform's store.
    :param member: The member record of this instance.
    :param secret: The secret shared by all instances.
    :param add_secret: Called with a secret that another instance has written.
    :param stopping: Set once the instance withdraws its record.
    """

    def __init__(
        self,
        store: PlatformStore,
        member: Member,
        secret: str,
        add_secret: Callable[[str], None],
        stopping: threading.Event,
    ) -> None:
        self._store = store
        self._member = member
        self._secret = secret
        self._add_secret = add_secret
        self._stopping = stopping
        self._is_member_lost = False
        self._is_secret_lost = False
        self._is_writing = False
        self._lock = threading.Lock()

    def member_lost(self) -> None:
        """Write the member record again, in a thread of its own."""
        with self._lock:
            self._is_member_lost = True
            self._start_writing()

    def store_returned(self) -> None:
        """Write the secret again if the store has none, in the same thread."""
        with self._lock:
            self._is_secret_lost = True
            self._start_writing()

    def _start_writing(self) -> None:
        if not self._is_writing:
            self._is_writing = True
            threading.Thread(
                target=self._write, name="own-records", daemon=True
            ).start()

    def _write(self) -> None:
        while True:
            with self._lock:
                is_member_lost, self._is_member_lost = self._is_member_lost, False
                is_secret_lost, self._is_secret_lost = self._is_secret_lost, False
                is_needed = is_member_lost or is_secret_lost
                if not is_needed or self._stopping.is_set():
                    self._is_writing = False
                    return
            if is_secret_lost:
                self._restore_secret()
            if is_member_lost and not self._stopping.is_set():
                MemberRewritten(incarnation=self._member.incarnation).write()
                publish_member(self._store, self._member)
            # What is read shortly after may be older than what was written.
            time.sleep(REWRITE_PAUSE_SECONDS)

    def _restore_secret(self) -> None:
        stored_secret = ensure_shared_secret(self._store, self._secret)
        if stored_secret != self._secret:
            SecretReplaced().write()
            self._secret = stored_secret
            self._add_secret(stored_secret)


def withdraw_member(
    store: PlatformStore, instance_id: InstanceId, end_offset: int
) -> None:
    """
    Remove the member record of this instance, which is about to stop.

    A call that takes effect late has no effect: the member record of a later
    incarnation moves the end of the topic, and the write is conditional on it.

    :param store: The platform's store.
    :param instance_id: This instance.
    :param end_offset: End offset of the topic at the last read.
    """
    reason = ""
    for _ in range(WITHDRAW_ATTEMPTS):
        try:
            store.put(MEMBERS_TOPIC, instance_id, None, end_offset)
            return
        except AppendConflict as error:
            # The write in between is another instance's: a later incarnation
            # of this instance cannot exist before this process ends.
            end_offset, reason = error.end_offset, str(error)
        except (PlatformUnavailable, PlatformRefused) as error:
            reason = str(error)
            break
    # The other instances regard this one as silent until its next start.
    GatewayNotWithdrawn(reason=reason).write()


def _retry_until_answered(call: Callable[[], T]) -> T:
    while True:
        try:
            return call()
        except (PlatformUnavailable, PlatformRefused) as error:
            StoreUnanswered(reason=str(error)).write()
            time.sleep(RETRY_PAUSE_SECONDS)
