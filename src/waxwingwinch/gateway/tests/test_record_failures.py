"""Following goes on after a record whose application fails."""

import pytest

from waxwingwinch.gateway.tests.test_follower import TOPIC, FollowerHarness, SharedReads
from waxwingwinch.gateway.tests.test_named_limits import logged

ODD = b"odd"


class FailingHarness(FollowerHarness):
    """Raises an error that the follower does not expect."""

    error: Exception = RecursionError("x" * 100_000)

    def apply(self, record):
        if record.value == ODD:
            raise self.error
        return super().apply(record)


ERRORS = [
    RecursionError("x" * 100_000),
    OverflowError("too large"),
    KeyError("\ud800"),
    AttributeError("none"),
]


# Guards against a topic that is no longer followed after one odd record.
@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("is_snapshot", [True, False])
def test_records_after_a_failed_one_are_applied(error, is_snapshot):
    harness = FailingHarness()
    harness.error = error
    if not is_snapshot:
        harness.follower.step()
    harness.store.put(TOPIC, "a", b"1")
    harness.store.put(TOPIC, "k" * 255, ODD)
    harness.store.put(TOPIC, "b", b"2")
    lines = logged(harness.follower.step)
    assert harness.applied == [("a", b"1"), ("b", b"2")]
    assert harness.follower.end_offset == 3
    assert len(harness.read_times) == (1 if is_snapshot else 2)
    (line,) = lines["store:record_skipped"]
    assert (line["topic"], line["offset"]) == (TOPIC, 1)
    assert type(error).__name__ in line["reason"]
    assert len(str(line)) < 1_000


# Guards against instances that rely on a reader and stop at its odd record.
def test_records_after_a_failed_one_are_applied_from_a_page():
    shared = SharedReads()
    failing = FailingHarness()
    shared.other.follower._apply = failing.apply
    shared.store.put(TOPIC, "a", b"1")
    shared.store.put(TOPIC, "odd", ODD)
    shared.store.put(TOPIC, "b", b"2")
    shared.reader.follower.step()
    lines = logged(shared.pass_on)
    assert failing.applied == [("a", b"1"), ("b", b"2")]
    assert shared.other.follower.end_offset == 3
    assert len(lines["store:record_skipped"]) == 1
    shared.store.put(TOPIC, "odd", None)
    shared.store.put(TOPIC, "b", b"3")
    shared.reader.follower.step()
    shared.pass_on()
    assert failing.applied[2:] == [("odd", None), ("b", b"3")]


# Guards against a reader that stops passing records on at an odd one.
def test_records_after_a_failed_one_are_passed_on():
    shared = SharedReads()
    failing = FailingHarness()
    shared.reader.follower._apply = failing.apply
    shared.store.put(TOPIC, "odd", ODD)
    shared.store.put(TOPIC, "b", b"2")
    shared.reader.follower.step()
    shared.pass_on()
    assert shared.other.applied == [("odd", ODD), ("b", b"2")]
