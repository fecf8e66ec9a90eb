"""Only complete events are forwarded."""

from hypothesis import given, strategies

from waxwingwinch.gateway._event_stream import EventSplitter

STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 8))


@given(strategies.lists(strategies.integers(1, 40), min_size=1, max_size=40))
def test_any_split_yields_the_same_complete_events(sizes):
    splitter = EventSplitter()
    returned, position = b"", 0
    for size in sizes:
        returned += splitter.feed(STREAM[position : position + size])
        position = min(position + size, len(STREAM))
    assert STREAM[:position].startswith(returned)
    assert returned == b"" or returned.endswith(b"\n\n")
    assert splitter.event_count == returned.count(b"id:")
    expected = str(splitter.event_count) if splitter.event_count else None
    assert splitter.last_event_id == expected


def test_a_partial_event_is_detected_and_can_be_dropped():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.has_partial_event
    splitter.drop_partial_event()
    assert not splitter.has_partial_event
    assert splitter.last_event_id == "1"


def test_carriage_returns_end_events_too():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\r\ndata: a\r\n\r\nid") == b"id: 1\r\ndata: a\r\n\r\n"
