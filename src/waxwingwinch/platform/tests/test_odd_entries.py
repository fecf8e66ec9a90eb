"""One odd entry among those of the upstreams, from the store to the state."""

import pytest

from waxwingwinch._types import InstanceId, UpstreamId
from waxwingwinch.codec import decode_message, encode_message
from waxwingwinch.gateway._follower import TopicFollower
from waxwingwinch.gateway._record_applier import RecordApplier
from waxwingwinch.gateway.feeds import FollowPlan, Pace
from waxwingwinch.gateway.tests.fakes import FakeClock, FakeStore
from waxwingwinch.gateway.tests.test_cache_survey import make_state
from waxwingwinch.gateway.tests.test_named_limits import logged
from waxwingwinch.platform._adapter import PlatformAdapter
from waxwingwinch.platform._duty_calls import PlatformDutyCalls
from waxwingwinch.platform._requests import PlatformRequestDecoder
from waxwingwinch.platform._transport import PlatformTransport
from waxwingwinch.platform.tests.test_registration_records import (
    DEEP_LIST,
    record,
    record_with,
)

TOPIC = "servers"
ODD_ENTRIES = [
    DEEP_LIST,
    record_with("other", DEEP_LIST),
    record_with("coldLeftMs", b"9" * 401),
    record_with("born", b"9" * 400),
    record_with("slots", b"1e400"),
    record(address="10.0.0.9:99999"),
    record(service="\ud800"),
    b"\xff\x00",
]


class Instance:
    """The state of an instance and its follower of the upstreams."""

    def __init__(self, store):
        clock = FakeClock()
        adapter = PlatformAdapter(
            store,
            PlatformTransport(clock),
            PlatformDutyCalls(None, InstanceId("own"), FakeClock()),
            PlatformRequestDecoder(),
        )
        self.state = make_state()
        applier = RecordApplier(self.state, adapter, clock)
        self.clock = clock
        self.follower = TopicFollower(
            store,
            FollowPlan(TOPIC, Pace(0.0), Pace(0.0)),
            clock,
            applier.apply_upstream,
            applier.retain_upstreams,
            applier.on_upstreams_read,
        )

    def known_ids(self):
        return sorted(upstream.upstream_id for upstream in self.state.directory.all())


def read_from_store(instance, store):
    return logged(instance.follower.step)


def read_from_peer(instance, store):
    """Apply the page that an instance passes on which reads the store."""
    reader = Instance(store)
    reader.follower.step()
    page = reader.follower.page_since(instance.follower.end_offset, 100.0)
    received = decode_message(encode_message(page))
    return logged(
        lambda: instance.follower.apply_page(received, instance.clock.seconds)
    )


# Guards against one odd entry that stops the following of all upstreams.
@pytest.mark.parametrize("entry", ODD_ENTRIES)
@pytest.mark.parametrize("read", [read_from_store, read_from_peer])
def test_an_odd_entry_names_no_upstream_and_the_others_hold(entry, read):
    store = FakeStore()
    instance = Instance(store)
    store.put(TOPIC, "before", record())
    store.put(TOPIC, "odd", record())
    instance.follower.step()
    assert instance.known_ids() == ["before", "odd"]
    store.put(TOPIC, "odd", entry)
    store.put(TOPIC, "after", record())
    lines = read(instance, store)
    assert instance.known_ids() == ["after", "before"]
    (line,) = lines["upstream:malformed"]
    assert line["upstream_id"] == "odd"
    assert len(str(line)) < 2_000
    assert "store:record_skipped" not in lines


# Guards against an upstream that stays unused once its entry is whole again.
def test_an_upstream_is_used_again_after_an_odd_entry():
    store = FakeStore()
    instance = Instance(store)
    store.put(TOPIC, "u", record(seqNo=4))
    store.put(TOPIC, "u", record_with("born", b"9" * 400))
    store.put(TOPIC, "u", record(seqNo=5))
    instance.follower.step()
    assert instance.state.directory.get(UpstreamId("u")).sequence == 5
