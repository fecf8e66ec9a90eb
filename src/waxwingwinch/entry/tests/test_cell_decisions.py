from typing import Any

from waxwingwinch._exceptions import PeerUnavailable
from waxwingwinch.contracts import DecisionKind, Reason
from waxwingwinch.entry._cell_decisions import CellDecisions
from waxwingwinch.reasons import ExplainReply, ExplainRequest, MemoryDecisionLog


def reason(wall_seconds: float, text: str) -> Reason:
    return Reason(DecisionKind.ROUTED, "engine-1", wall_seconds, text)


class Holder:
    """Fake link to a duty holder, which replies or is unreachable."""

    def __init__(self, *reasons: Reason, is_unreachable: bool = False) -> None:
        self.reasons = reasons
        self.is_unreachable = is_unreachable
        self.requested_names: list[str] = []

    def request(self, body: object, timeout_seconds: float) -> Any:
        assert isinstance(body, ExplainRequest)
        self.requested_names.append(body.name)
        if self.is_unreachable:
            raise PeerUnavailable("no reply")
        return ExplainReply(self.reasons)


def test_reasons_of_all_holders_come_in_order_of_time():
    local = MemoryDecisionLog()
    fleet = Holder(reason(3.0, "third"), reason(1.0, "first"))
    unreachable = Holder(is_unreachable=True)
    links = {"fleet-x": fleet, "buying-x": fleet, "usage-x": unreachable}
    decisions = CellDecisions(local, [*links, "limits-x"], links.get)
    decisions.add(reason(2.0, "second"))
    texts = [item.text for item in decisions.about("engine-1")]
    assert texts == ["first", "second", "third"]
    assert fleet.requested_names == ["engine-1"]
