"""Log lines and metrics about who reads the store for an instance."""

import eliot
import pytest

from waxwingwinch.gateway.feeds import OWN_READS, ReadSource, SourceWatch
from waxwingwinch.gateway.feeds.tests.test_refused_readers import PLAN, TOPIC, Fleet

KEPT_SECONDS = PLAN.max_age_seconds
FIRST = ReadSource("first", "collector")
SECOND = ReadSource("second", "collector")
OWN = ReadSource(OWN_READS, OWN_READS)


@pytest.fixture
def lines():
    """The lines about readers that are logged meanwhile."""
    lines = []

    def collect(message):
        if message.get("message_type") == "store:reader":
            lines.append(message)

    eliot.add_destinations(collect)
    yield lines
    eliot.remove_destination(collect)


# Guards against records that are late without a line that says who read them.
def test_the_reader_and_the_age_are_logged_when_the_reader_changes(lines):
    fleet = Fleet()
    fleet.run(4.0)
    lines.clear()
    for reader in fleet.readers:
        reader.store.is_down = True
    fleet.run(2.0)
    own = [line for line in lines if line["reader"] == OWN_READS]
    # Those are the collector, and the delegates until it reads for its cell.
    assert own and all(line["former"] in ("first", "second") for line in own)
    assert all(line["silent_seconds"] < 1.5 for line in own)
    assert all(line["topic"] == TOPIC and line["age_seconds"] < 0.1 for line in own)
    lines.clear()
    for reader in fleet.readers:
        reader.store.is_down = False
    fleet.run(6.0)
    back = [line for line in lines if line["former"] == OWN_READS]
    assert {line["reader"] for line in back} <= {"first", "second", "collector"}
    assert back and all(line["passed_on_by"] != OWN_READS for line in back)


# Guards against a line for each page of two readers that read in turn.
def test_readers_that_read_in_turn_give_no_lines(lines):
    fleet = Fleet()
    fleet.run(4.0)
    lines.clear()
    for number in range(20):
        fleet.write(str(number))
        fleet.run(1.0)
    assert lines == []


# Guards against a metric that hides that the configuration is old.
def test_the_age_of_the_configuration_topic_is_known():
    fleet = Fleet()
    follower = fleet.near.follower
    assert follower.age_seconds(fleet.clock.seconds) is None
    fleet.run(4.0)
    age_seconds = follower.age_seconds(fleet.clock.seconds)
    assert age_seconds is not None and age_seconds < 1.5
    for instance in fleet.instances:
        instance.store.is_down = True
    fleet.run(10.0)
    age_seconds = follower.age_seconds(fleet.clock.seconds)
    assert age_seconds is not None and 9.0 < age_seconds < 11.5


# Guards against a change of the reader that is logged late or not at all.
def test_a_source_is_replaced_once_it_is_silent():
    watch = SourceWatch(TOPIC, KEPT_SECONDS)
    first = watch.observe(FIRST, 9.5, 10.0, True)
    assert first is not None and first.former is None
    assert watch.observe(SECOND, 10.0, 10.5, True) is None
    assert watch.observe(FIRST, 10.0, 11.0, True) is None
    assert watch.observe(SECOND, 11.0, 11.1 + KEPT_SECONDS - 0.2, True) is None
    changed = watch.observe(SECOND, 11.0, 11.1 + KEPT_SECONDS, True)
    assert changed is not None
    assert (changed.reader, changed.former) == ("second", "first")
    assert changed.former_seconds == pytest.approx(1.1 + KEPT_SECONDS)
    own = watch.observe(OWN, 14.0, 14.0, True)
    assert own is not None and own.reader == OWN_READS


# Guards against a name made up by a peer that fills the log.
def test_names_in_the_line_are_bounded():
    watch = SourceWatch(TOPIC, KEPT_SECONDS)
    line = watch.observe(ReadSource("x" * 9_999, "y" * 9_999), 1.0, 1.0, True)
    assert line is not None
    assert len(line.reader) + len(line.passed_on_by) < 200
