"""Tests of the decision log."""

from waxwingwinch.contracts import DecisionKind, Reason
from waxwingwinch.reasons import MemoryDecisionLog


def test_about_matches_subject_and_related_names_and_the_oldest_is_dropped():
    log = MemoryDecisionLog(max_reasons=2)
    log.add(Reason(DecisionKind.BOUGHT, "e1", 1.0, "old"))
    log.add(Reason(DecisionKind.DRAINED, "e1", 2.0, "kept"))
    log.add(Reason(DecisionKind.ROUTED, "r1", 3.0, "near", related=("e1",)))
    assert [reason.text for reason in log.about("e1")] == ["kept", "near"]
    assert log.about("other") == ()
