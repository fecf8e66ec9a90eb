from waxwing_testbed import free_addresses


def test_none_is_asked_for():
    assert free_addresses(0) == ()


def test_no_address_is_given_twice():
    given = [address for _ in range(20) for address in free_addresses(20)]
    assert len(set(given)) == len(given)
