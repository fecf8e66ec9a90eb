"""Member records and the shared secret, which instances keep in the store."""

import secrets
import time
from collections.abc import Callable
from typing import TypeVar

from waxwingwinch._exceptions import PlatformRefused, PlatformUnavailable
from waxwingwinch._types import InstanceId
from waxwingwinch.codec import encode_message
from waxwingwinch.gateway._cluster_log_lines import StoreUnanswered
from waxwingwinch.gateway._members import Member
from waxwingwinch.gateway._process_log_lines import GatewayNotWithdrawn, SecretExists
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
#: Length of the secret in bytes.
SECRET_BYTES = 16

T = TypeVar("T")


def ensure_shared_secret(store: PlatformStore) -> str:
    """
    Return the secret shared by all instances; create it if there is none.

    :param store: The platform's store.
    """
    proposal = secrets.token_hex(SECRET_BYTES).encode()

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
