"""The scenarios of the bench."""

from attrs import evolve

from waxwing_testbed.bench._fleet import (
    DEFAULTS,
    LIMITS,
    SPEEDS,
    ZONES,
    best_roles,
    engines_of_roles,
    engines_to_buy,
    mixed_engines,
)
from waxwing_testbed.bench._scenario import (
    OURS,
    CustomerLoad,
    LoadPhase,
    LogOutage,
    OrderRoles,
    ReclaimZone,
    Scenario,
    SlowEngine,
    Variant,
)
from waxwing_testbed.standins import EngineLags
from waxwingwinch._types import EngineRole

#: Shares of the load by customer.
SHARES = {"panay": 0.3, "cebu": 0.25, "bacolod": 0.2, "guimaras": 0.15, "workshop": 0.1}
#: Part of its rate that a customer sends.
RATE_USE = 0.8
#: Burst of a customer, in seconds of its rate.
BURST_SECONDS = 3.0
#: Smallest burst.
MIN_BURST_REQUESTS = 8.0
#: The customer that sends several times its rate, and how many times.
NOISY_CUSTOMER = "bacolod"
NOISY_FACTOR = 5.0
#: The customer whose callers all use one instance.
PINNED_CUSTOMER = "panay"
#: Role that a static split gives to as many engines as each other one.
SPLIT_ROLES = (EngineRole.PREFILL,) * 4 + (EngineRole.DECODE,) * 5
#: How late load reports are in the scenario about it.
LATE_REPORT_SECONDS = 10.0
#: How much slower one engine is in the scenario about it.
SLOW_FACTOR = 3.0
#: Notice before cheap engines stop.
NOTICE_SECONDS = 5.0
#: Part of the run before anything happens.
QUIET_PART = 0.2
#: Part of the run before the log is down; it stays down for the rest.
LOG_QUIET_PART = 0.12


def _customers(*phases: LoadPhase) -> tuple[CustomerLoad, ...]:
    """Share phases among the customers by rate, as the calls of all."""
    busiest = max(phase.calls_per_second for phase in phases)
    loads = []
    for customer_id, share in SHARES.items():
        rate_per_second = busiest * share / RATE_USE
        loads.append(
            CustomerLoad(
                customer_id,
                rate_per_second,
                max(MIN_BURST_REQUESTS, BURST_SECONDS * rate_per_second),
                tuple(
                    evolve(phase, calls_per_second=phase.calls_per_second * share)
                    for phase in phases
                ),
            )
        )
    return tuple(loads)


def _different_customers(calls_per_second: float) -> tuple[CustomerLoad, ...]:
    """Half of the customers send long prompts, the others get long answers."""
    reading = LoadPhase(1.0, calls_per_second, 1_000, 20)
    writing = LoadPhase(1.0, calls_per_second, 100, 60)
    pairs = zip(_customers(reading), _customers(writing), strict=True)
    return tuple(pair[number % 2] for number, pair in enumerate(pairs))


def _mixed(name: str, **entry_settings: object) -> Variant:
    return Variant(name, mixed_engines(), entry_settings, defaults=DEFAULTS)


def _routing_variants() -> tuple[Variant, ...]:
    return (
        _mixed(OURS),
        _mixed("round robin", routing_policy="round_robin"),
        _mixed("least connections", routing_policy="least_connections"),
    )


def _limits_variants() -> tuple[Variant, ...]:
    return (_mixed(OURS), _mixed("static split", limits_policy="static_split"))


def _flips() -> Scenario:
    reading = LoadPhase(1 / 3, 20.0, 1_500, 16)
    writing = LoadPhase(1 / 3, 16.0, 100, 80)
    phases = (reading, writing, reading)
    roles = [
        best_roles(
            phase.calls_per_second * phase.prompt_words,
            phase.calls_per_second * phase.output_tokens,
        )
        for phase in phases
    ]
    static: dict[str, object] = {"role_policy": "static"}
    hindsight = Variant(
        "hindsight",
        engines_of_roles(roles[0]),
        control_settings=static,
        actions=(OrderRoles(1 / 3, roles[1]), OrderRoles(2 / 3, roles[2])),
        defaults=DEFAULTS,
    )
    mixed = evolve(_mixed("all mixed"), control_settings=static)
    split = evolve(
        hindsight, name="fixed split", engines=engines_of_roles(SPLIT_ROLES), actions=()
    )
    return Scenario(
        "flips",
        "the mix flips twice within the run",
        _customers(*phases),
        (_mixed(OURS), mixed, split, hindsight),
        flips=2,
    )


def _noisy() -> Scenario:
    customers = []
    for load in _customers(LoadPhase(1.0, 20.0, 300, 50)):
        if load.customer_id == NOISY_CUSTOMER:
            calls_per_second = load.rate_per_second * NOISY_FACTOR
            phase = evolve(load.phases[0], calls_per_second=calls_per_second)
            load = evolve(load, phases=(phase,), exceeds_rate=True)
        customers.append(load)
    return Scenario(
        "noisy",
        f"one customer sends {NOISY_FACTOR:.0f} times its rate",
        tuple(customers),
        _limits_variants(),
    )


def _reclaim() -> Scenario:
    phase = LoadPhase(1.0, 21.0, 300, 40)
    need = phase.calls_per_second * (
        phase.prompt_words / SPEEDS.prefill_tokens_per_second
        + phase.output_tokens * SPEEDS.decode_seconds_per_token / LIMITS.max_running
    )
    shares = {
        OURS: DEFAULTS.cheap_ratio_max,
        "all on demand": 0.0,
        "all cheap": 1.0,
    }
    variants = []
    for name, cheap_ratio_max in shares.items():
        defaults = evolve(
            DEFAULTS,
            cheap_ratio_max=cheap_ratio_max,
            survive_zone_loss=cheap_ratio_max < 1.0,
        )
        engines = engines_to_buy(need, defaults)
        variants.append(Variant(name, engines, defaults=defaults))
    return Scenario(
        "reclaim",
        f"a zone's cheap engines go on {NOTICE_SECONDS:.0f} s notice",
        _customers(phase),
        tuple(variants),
        (ReclaimZone(QUIET_PART, ZONES[0], NOTICE_SECONDS),),
        is_market_open=True,
    )


def _late_reports() -> Scenario:
    return Scenario(
        "late-reports",
        f"load reports come {LATE_REPORT_SECONDS:.0f} s late",
        _different_customers(26.0),
        _routing_variants(),
        lags=EngineLags(load_lag_seconds=LATE_REPORT_SECONDS),
    )


def _log_down() -> Scenario:
    return Scenario(
        "log-down",
        "the platform's log is down for most of the run",
        _customers(LoadPhase(1.0, 16.0, 300, 30)),
        _limits_variants(),
        (LogOutage(LOG_QUIET_PART),),
    )


def _slow_engine() -> Scenario:
    return Scenario(
        "slow-engine",
        f"one engine works at 1/{SLOW_FACTOR:.0f} of its speed",
        _different_customers(22.0),
        _routing_variants(),
        (SlowEngine(QUIET_PART, SLOW_FACTOR),),
    )


def _one_instance() -> Scenario:
    customers = tuple(
        evolve(load, pinned=load.customer_id == PINNED_CUSTOMER)
        for load in _customers(LoadPhase(1.0, 16.0, 300, 30))
    )
    return Scenario(
        "one-instance",
        "one customer's callers all use one instance, then another",
        customers,
        _limits_variants(),
    )


def scenarios() -> tuple[Scenario, ...]:
    """Return all scenarios."""
    return (
        _flips(),
        _noisy(),
        _reclaim(),
        _late_reports(),
        _log_down(),
        _slow_engine(),
        _one_instance(),
    )
