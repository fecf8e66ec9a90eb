"""Simulation of admission fairness at one engine of fixed speed."""

from attrs import define, field

from waxwingwinch._types import CustomerId
from waxwingwinch.decisions import (
    AdmissionRequest,
    Admit,
    CustomerWork,
    after_admission,
    after_demand,
    decide_admission,
)

#: Speed of the simulated engine.
CAPACITY_TOKENS_PER_SECOND = 1_000.0
PROMISED_SECONDS = 0.4
TOKENS = 20
STEP_SECONDS = 0.01


@define
class Counts:
    asked: int = 0
    refused: int = 0
    late: int = 0


@define
class Run:
    """Simulates requests at even intervals, served in order of arrival."""

    rates: dict[str, float]
    counts: dict[str, Counts] = field(factory=dict)

    def run(self, seconds: float) -> None:
        works = {n: CustomerWork(CustomerId(n), 1.0) for n in self.rates}
        due = dict.fromkeys(self.rates, 0.0)
        self.counts = {name: Counts() for name in self.rates}
        queued = 0.0
        for step in range(int(seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            queued = max(0.0, queued - CAPACITY_TOKENS_PER_SECOND * STEP_SECONDS)
            for name, rate in self.rates.items():
                due[name] += rate * STEP_SECONDS
                while due[name] >= 1.0:
                    due[name] -= 1.0
                    queued += self._ask(name, works, queued, now)

    def _ask(
        self, name: str, works: dict[str, CustomerWork], queued: float, now: float
    ) -> float:
        counts = self.counts[name]
        counts.asked += 1
        wait = queued / CAPACITY_TOKENS_PER_SECOND
        works[name] = after_demand(works[name], TOKENS, now)
        asked = AdmissionRequest(
            CustomerId(name), wait, wait, PROMISED_SECONDS, now + 60.0, now
        )
        decision = decide_admission(asked, tuple(works.values()), now)
        if not isinstance(decision, Admit):
            counts.refused += 1
            return 0.0
        counts.late += wait > PROMISED_SECONDS
        works[name] = after_admission(works[name], TOKENS, now)
        return TOKENS


def test_only_the_noisy_customer_is_refused():
    run = Run({"noisy": 100.0, "quiet-1": 8.0, "quiet-2": 8.0, "quiet-3": 4.0})
    run.run(120.0)
    noisy = run.counts.pop("noisy")
    assert all(counts.refused == 0 for counts in run.counts.values())
    late = sum(counts.late for counts in run.counts.values())
    asked = sum(counts.asked for counts in run.counts.values())
    assert late < 0.05 * asked
    # The noisy customer gets the capacity that the quiet ones leave unused:
    # 30 of 50 requests per second.
    served = (noisy.asked - noisy.refused) / 120.0
    assert 27.0 < served < 33.0


def test_no_customer_is_refused_within_capacity():
    run = Run({"a": 20.0, "b": 15.0, "c": 10.0})
    run.run(60.0)
    assert all(counts.refused == 0 for counts in run.counts.values())


def test_equal_customers_share_a_shortage_equally():
    run = Run({"a": 30.0, "b": 30.0})
    run.run(120.0)
    served = [counts.asked - counts.refused for counts in run.counts.values()]
    assert sum(served) > 0.95 * 50.0 * 120.0
    assert max(served) < 1.2 * min(served)
    late = sum(counts.late for counts in run.counts.values())
    assert late < 0.2 * sum(served)
