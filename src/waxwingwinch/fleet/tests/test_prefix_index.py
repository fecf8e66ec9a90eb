"""Tests of the prefix index."""

from waxwingwinch.fleet import PrefixIndex
from waxwingwinch.interfaces import CacheEvent, CacheEventKind, CacheEventPage

STORED, EVICTED = CacheEventKind.STORED, CacheEventKind.EVICTED


def page(next_sequence, *events):
    return CacheEventPage(next_sequence, tuple(CacheEvent(*event) for event in events))


def test_stores_and_evicts():
    index = PrefixIndex()
    index.apply(page(3, (0, STORED, "a"), (1, STORED, "b"), (2, EVICTED, "a")))
    assert index.hashes() == {"b"}
    assert index.next_sequence == 3


def test_gap_clears_earlier_prefixes():
    index = PrefixIndex()
    index.apply(page(1, (0, STORED, "a")))
    index.apply(page(4, (3, STORED, "b")))
    assert index.hashes() == {"b"}


def test_gap_at_the_end_of_a_page_clears_all_prefixes():
    index = PrefixIndex()
    index.apply(page(5, (0, STORED, "a")))
    assert index.hashes() == frozenset()
    assert index.next_sequence == 5


def test_restart_of_the_engine_clears_all_prefixes():
    index = PrefixIndex()
    index.apply(page(9, *[(i, STORED, f"p{i}") for i in range(9)]))
    index.apply(page(0))
    assert index.hashes() == frozenset()
    assert index.next_sequence == 0
