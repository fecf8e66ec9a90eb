"""Pages that are passed on lead to the state of the topic."""

from hypothesis import given, strategies

from waxwingwinch.gateway.tests.test_follower import TOPIC, SharedReads

writes = strategies.tuples(
    strategies.sampled_from("abc"), strategies.sampled_from([b"1", b"2", b"3", None])
)


@given(strategies.lists(writes | strategies.just("read") | strategies.just("pass on")))
def test_pages_lead_to_the_state_of_the_topic(steps):
    shared = SharedReads()
    for step in [*steps, "read", "pass on"]:
        shared.clock.seconds += 0.1
        if step == "read":
            shared.reader.follower.step()
        elif step == "pass on":
            page = shared.pass_on()
            values = [record.key for record in page.records if record.value is not None]
            removals = [record.key for record in page.records if record.value is None]
            assert len(set(values)) == len(values)
            assert len(set(removals)) == len(removals)
        else:
            shared.store.put(TOPIC, *step)
    newest = {
        record.key: record.value for record in shared.store.snapshot(TOPIC).records
    }
    known = shared.other.known
    assert {key: value for key, value in known.items() if value} == newest


def test_a_removal_is_passed_on_with_the_last_state_only():
    shared = SharedReads()
    for value in (b"1", b"2", None, b"3", b"4", None, None):
        shared.store.put(TOPIC, "a", value)
    shared.reader.follower.step()
    page = shared.pass_on()
    assert [record.value for record in page.records] == [b"4", None]


def test_a_key_written_after_its_removal_is_passed_on_once():
    shared = SharedReads()
    for value in (b"1", None, b"2"):
        shared.store.put(TOPIC, "a", value)
    shared.reader.follower.step()
    assert [record.value for record in shared.pass_on().records] == [b"2"]
