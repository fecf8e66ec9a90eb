import pytest
from hypothesis import given, settings, strategies

from waxwing_testbed.standins import LogSettings
from waxwing_testbed.standins._log_store import LogStore
from waxwingwinch._exceptions import PlatformRefused, RecordsExpired


@settings(deadline=None)
@given(
    strategies.lists(strategies.lists(strategies.binary(max_size=3), min_size=1)),
    strategies.integers(1, 5),
)
def test_offsets_are_dense_and_retention_drops_the_oldest(batches, max_records):
    store = LogStore(LogSettings(max_records=max_records))
    payloads = [payload for batch in batches for payload in batch]
    expected_offset = 0
    for batch in batches:
        assert store.append("s", batch, 0.0) == expected_offset
        expected_offset += len(batch)
    first_offset = max(0, len(payloads) - max_records)
    page = store.read("s", first_offset, 0.0)
    assert (page.first_offset, page.end_offset) == (first_offset, len(payloads))
    assert [row.payload for row in page.records] == payloads[first_offset:]
    assert [row.offset for row in page.records] == list(
        range(first_offset, len(payloads))
    )


def test_old_records_expire_and_offsets_go_on():
    store = LogStore(LogSettings(max_age_seconds=10.0))
    store.append("s", [b"a"], 0.0)
    assert len(store.read("s", 0, 10.0).records) == 1
    with pytest.raises(RecordsExpired) as caught:
        store.read("s", 0, 10.1)
    assert caught.value.first_offset == 1
    assert store.append("s", [b"b"], 11.0) == 1


def test_streams_are_apart_and_unknown_ones_are_empty():
    store = LogStore(LogSettings())
    store.append("s", [b"a"], 0.0)
    page = store.read("t", 0, 0.0)
    assert (page.end_offset, page.records) == (0, ())


def test_the_append_rate_is_limited_and_appends_nothing_beyond():
    store = LogStore(LogSettings(appends_per_second=2.0, append_burst=1))
    store.append("s", [b"a", b"b"], 0.0)
    with pytest.raises(PlatformRefused) as caught:
        store.append("s", [b"c"], 0.1)
    assert caught.value.retry_after_seconds == pytest.approx(0.4)
    assert store.read("s", 0, 0.1).end_offset == 2
    assert store.append("s", [b"c"], 0.6) == 2
