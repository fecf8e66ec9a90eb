"""The account of the memory that requests and answers hold."""

import pytest

from waxwingwinch.gateway._memory_account import MemoryAccount, MemoryExhausted


def test_a_reservation_is_counted_until_it_is_released():
    account = MemoryAccount(100)
    with account.open() as reservation:
        reservation.grow(60)
        reservation.shrink(10)
        assert (account.held_bytes, reservation.size_bytes) == (50, 50)
    assert (account.held_bytes, account.peak_bytes) == (0, 60)


def test_a_reservation_beyond_the_limit_is_refused_and_the_rest_kept():
    account = MemoryAccount(100)
    first, second = account.open(), account.open()
    first.grow(60)
    with pytest.raises(MemoryExhausted) as refused:
        second.grow(41)
    assert (refused.value.requested_bytes, refused.value.free_bytes) == (41, 40)
    second.grow(40)
    assert account.held_bytes == 100


def test_a_reservation_gives_back_no_more_than_it_holds():
    account = MemoryAccount(100)
    first, second = account.open(), account.open()
    first.grow(60)
    second.grow(10)
    second.shrink(40)
    second.release()
    assert account.held_bytes == 60


def test_what_is_spared_stays_free_for_others():
    account = MemoryAccount(100)
    reservation = account.open()
    with pytest.raises(MemoryExhausted) as refused:
        reservation.grow(76, spare_fraction=0.25)
    assert refused.value.free_bytes == 75
    reservation.grow(75, spare_fraction=0.25)
    reservation.grow(25)
    assert account.held_bytes == 100
