"""Becoming known to the other instances."""

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

#: Topic of the instances' records.
MEMBERS_TOPIC = "members"
#: Topic of the secret that the instances share.
SECRET_TOPIC = "peer-secret"
#: Key of that secret.
SECRET_KEY = "secret"
#: Pause before the store is asked again for what a start needs.
START_PAUSE_SECONDS = 0.2
#: Calls to drop the own record; other instances that stop or start at the
#: same time write in between.
WITHDRAW_ATTEMPTS = 4
#: Bytes of the secret.
SECRET_BYTES = 16

T = TypeVar("T")


def shared_secret(store: PlatformStore) -> str:
    """
    Return the secret that all instances share, making it if there is none.

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
        raise PlatformUnavailable("the store holds no shared secret", False)

    return _until_answered(read_or_propose)


def publish_member(store: PlatformStore, member: Member) -> None:
    """
    Write this instance's record.

    :param store: The platform's store.
    :param member: The record.
    """
    payload = encode_message(member)
    _until_answered(lambda: store.put(MEMBERS_TOPIC, member.instance_id, payload))


def withdraw_member(
    store: PlatformStore, instance_id: InstanceId, end_offset: int
) -> None:
    """
    Drop the record of this instance, which is about to end.

    A call that takes effect late is void, since the record of a later start
    moves the end of the topic.

    :param store: The platform's store.
    :param instance_id: This instance.
    :param end_offset: Where the topic ended when it was last read.
    """
    reason = ""
    for _ in range(WITHDRAW_ATTEMPTS):
        try:
            store.put(MEMBERS_TOPIC, instance_id, None, end_offset)
            return
        except AppendConflict as error:
            # Another instance has written meanwhile; a later start of this
            # one has not, since this one has not ended.
            end_offset, reason = error.end_offset, str(error)
        except (PlatformUnavailable, PlatformRefused) as error:
            reason = str(error)
            break
    # The others take it for silent until its next start.
    GatewayNotWithdrawn(reason=reason).write()


def _until_answered(call: Callable[[], T]) -> T:
    while True:
        try:
            return call()
        except (PlatformUnavailable, PlatformRefused) as error:
            StoreUnanswered(reason=str(error)).write()
            time.sleep(START_PAUSE_SECONDS)
