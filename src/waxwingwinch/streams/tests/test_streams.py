import pytest
from attrs import frozen
from hypothesis import given, settings, strategies as st

from waxwing_testbed.fakes import AppendFault, MemoryLog
from waxwingwinch._exceptions import MalformedMessage, PlatformUnavailable
from waxwingwinch.codec import message
from waxwingwinch.kernel import SystemClock
from waxwingwinch.streams import (
    AppliedRecord,
    Deduplicator,
    StreamFollower,
    StreamWriter,
    decode_envelope,
    encode_envelope,
)

WAIT_SECONDS = 10.0


@message("test_note")
@frozen
class Note:
    text: str


def read_all(log, stream):
    page = log.read(stream, 0, 0.0, 0.0)
    deduplicator = Deduplicator()
    texts = []
    for record in page.records:
        envelope, body = decode_envelope(record.payload)
        if deduplicator.accept(envelope):
            texts.append(body.text)
    return texts


def append_all(log, texts, max_batch_records=1):
    writer = StreamWriter(log, "notes", SystemClock(), max_batch_records)
    writer.start()
    for text in texts:
        writer.append(Note(text), WAIT_SECONDS)
    writer.stop()


@pytest.mark.parametrize("fault", list(AppendFault))
def test_each_record_is_applied_once_despite_append_faults(fault):
    log = MemoryLog()
    log.append_faults = [fault]
    append_all(log, ["a", "b"])
    assert read_all(log, "notes") == ["a", "b"]


@settings(max_examples=15, deadline=None)
@given(st.lists(st.sampled_from(list(AppendFault)), max_size=4))
def test_order_and_count_of_records_survive_append_faults(faults):
    log = MemoryLog()
    log.append_faults = list(faults)
    append_all(log, ["a", "b", "c"])
    assert read_all(log, "notes") == ["a", "b", "c"]


def test_late_record_of_a_given_up_append_is_dropped():
    deduplicator = Deduplicator()
    newer, _ = decode_envelope(encode_envelope("w", 2, Note("newer")))
    older, _ = decode_envelope(encode_envelope("w", 1, Note("older")))
    assert deduplicator.accept(newer)
    assert not deduplicator.accept(older)


def test_records_submitted_together_go_in_few_appends():
    log = MemoryLog()
    log.is_down = True
    writer = StreamWriter(log, "notes", SystemClock())
    writer.start()
    futures = [writer.submit(Note(str(n)), WAIT_SECONDS) for n in range(50)]
    log.is_down = False
    for future in futures:
        future.wait()
    writer.stop()
    assert read_all(log, "notes") == [str(n) for n in range(50)]
    assert log.append_counts["notes"] <= 3


def test_error_says_that_nothing_was_sent_while_the_log_is_down():
    log = MemoryLog()
    log.is_down = True
    writer = StreamWriter(log, "notes", SystemClock())
    writer.start()
    with pytest.raises(PlatformUnavailable) as caught:
        writer.append(Note("a"), 0.05)
    writer.stop()
    assert not caught.value.may_have_taken_effect


def test_error_says_that_a_lost_append_may_have_taken_effect():
    log = MemoryLog()
    log.append_faults = [AppendFault.REQUEST_LOST] * 50
    writer = StreamWriter(log, "notes", SystemClock())
    writer.start()
    with pytest.raises(PlatformUnavailable) as caught:
        writer.append(Note("a"), 0.05)
    writer.stop()
    assert caught.value.may_have_taken_effect


def follow(log, from_offset=0, on_expired=None):
    texts: list[str] = []

    def apply(applied: AppliedRecord) -> None:
        texts.append(applied.body.text)

    follower = StreamFollower(
        log, "notes", SystemClock(), apply, from_offset, on_expired
    )
    return follower, texts


def test_follower_skips_malformed_records_and_duplicates():
    log = MemoryLog()
    log.append("notes", [b"\xff", encode_envelope("w", 1, Note("a"))], 1.0)
    log.append(
        "notes",
        [encode_envelope("w", 1, Note("a")), encode_envelope("w", 2, Note("b"))],
        1.0,
    )
    follower, texts = follow(log)
    follower.start()
    assert follower.wait_until(lambda: follower.next_offset == 4, WAIT_SECONDS)
    follower.stop()
    assert texts == ["a", "b"]


def test_follower_reports_expired_records_and_continues():
    log = MemoryLog()
    log.append("notes", [encode_envelope("w", n, Note(str(n))) for n in range(4)], 1.0)
    log.expire("notes", 2)
    expired: list[int] = []
    follower, texts = follow(log, 0, expired.append)
    follower.start()
    assert follower.wait_until(lambda: follower.next_offset == 4, WAIT_SECONDS)
    follower.stop()
    assert expired == [2]
    assert texts == ["2", "3"]


def test_follower_is_not_caught_up_before_its_first_read():
    log = MemoryLog()
    log.is_down = True
    follower, _ = follow(log)
    follower.start()
    assert not follower.wait_until(lambda: False, 0.05)
    follower.stop()
    assert follower.caught_up_seconds is None


def test_garbage_is_malformed():
    with pytest.raises(MalformedMessage):
        decode_envelope(b"\x00\x01")
