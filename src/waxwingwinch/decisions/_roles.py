"""Which engines change their role."""

from collections.abc import Sequence

from attrs import evolve, frozen

from waxwingwinch._types import EngineRole, ModelName, UpstreamId, ZoneName
from waxwingwinch.configuration import Defaults
from waxwingwinch.decisions._forecast import WorkForecast

#: Part of its speed that a mixed engine has in both phases, since reading a
#: prompt delays the tokens of the running answers.
MIXED_EFFICIENCY = 0.9
#: Part of its speed that an engine has in the phase it isn't set up for, when
#: routing borrows it.
OFF_ROLE_EFFICIENCY = 0.5
#: A change has to gain at least this part of the horizon's service.
MIN_GAIN_RATIO = 0.05
#: Steps of the search for the servable share of the work.
BISECTION_STEPS = 30

#: Rounding that the search forgives, in tokens a second.
NEGLIGIBLE_TOKENS = 1e-6

_EFFICIENCIES = {
    EngineRole.PREFILL: (1.0, OFF_ROLE_EFFICIENCY),
    EngineRole.DECODE: (OFF_ROLE_EFFICIENCY, 1.0),
    EngineRole.MIXED: (MIXED_EFFICIENCY, MIXED_EFFICIENCY),
}
_SERVES_PREFILL = (EngineRole.PREFILL, EngineRole.MIXED)
_SERVES_DECODE = (EngineRole.DECODE, EngineRole.MIXED)


@frozen
class RoleEngine:
    """
    One engine in service.

    :param upstream_id: The engine.
    :param zone: Its availability zone.
    :param model: Its model.
    :param role: Its role.
    :param prefill_tokens_per_second: Speed of reading prompts alone.
    :param decode_tokens_per_second: Speed of generating alone.
    :param running: Generations under way.
    :param changed_seconds: Monotonic time of its last change; None if it
        had none.
    """

    upstream_id: UpstreamId
    zone: ZoneName
    model: ModelName
    role: EngineRole
    prefill_tokens_per_second: float
    decode_tokens_per_second: float
    running: int = 0
    changed_seconds: float | None = None


@frozen
class RoleState:
    """
    What a decision on roles is made from.

    :param engines: The engines in service; others can't be counted on.
    :param forecasts: Expected work over ``role_horizon_seconds``.
    :param changing_models: Models with a change under way.
    :param change_seconds: Time that a change takes an engine out of service,
        drain included.
    """

    engines: tuple[RoleEngine, ...]
    forecasts: tuple[WorkForecast, ...]
    changing_models: frozenset[ModelName] = frozenset()
    change_seconds: float = 5.0


@frozen
class RoleChange:
    """
    One change to make.

    :param upstream_id: The engine.
    :param model: Its model.
    :param from_role: Present role.
    :param to_role: New role.
    :param gain_ratio: Gained part of the horizon's service.
    :param reason: Why, as a plain sentence.
    """

    upstream_id: UpstreamId
    model: ModelName
    from_role: EngineRole
    to_role: EngineRole
    gain_ratio: float
    reason: str


def plan_roles(
    state: RoleState, defaults: Defaults, now_seconds: float
) -> tuple[RoleChange, ...]:
    """
    Decide on role changes, at most one for each model.

    :param state: What is known.
    :param defaults: Settings in force.
    :param now_seconds: Monotonic time.
    """
    changes = []
    for forecast in state.forecasts:
        if forecast.model in state.changing_models:
            continue
        engines = [e for e in state.engines if e.model == forecast.model]
        change = _best_change(
            engines, forecast, state.change_seconds, defaults, now_seconds
        )
        if change is not None:
            changes.append(change)
    return tuple(changes)


def servable_ratio(engines: Sequence[RoleEngine], forecast: WorkForecast) -> float:
    """
    Return how many times the forecast work the engines can do.

    Each engine's time can be split between the phases. Prompts go to the
    engines that are better at them first, which is the best split.

    :param engines: Engines of one model.
    :param forecast: The work; at least one rate has to be positive.
    """
    low, high = 0.0, 1.0
    while _fits(engines, forecast, high) and high < 1e6:
        low, high = high, 2 * high
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _fits(engines, forecast, middle):
            low = middle
        else:
            high = middle
    return low


def _fits(engines: Sequence[RoleEngine], forecast: WorkForecast, ratio: float) -> bool:
    prompts_left = ratio * forecast.prompt_tokens_per_second
    output_left = ratio * forecast.output_tokens_per_second
    for engine in sorted(engines, key=_advantage, reverse=True):
        prefill_efficiency, decode_efficiency = _EFFICIENCIES[engine.role]
        prefill = engine.prefill_tokens_per_second * prefill_efficiency
        decode = engine.decode_tokens_per_second * decode_efficiency
        prefill_time = min(1.0, prompts_left / prefill)
        prompts_left -= prefill_time * prefill
        output_left -= (1.0 - prefill_time) * decode
    return prompts_left <= NEGLIGIBLE_TOKENS and output_left <= NEGLIGIBLE_TOKENS


def _advantage(engine: RoleEngine) -> float:
    """Return how much better an engine is at prompts than at output."""
    prefill_efficiency, decode_efficiency = _EFFICIENCIES[engine.role]
    prefill = engine.prefill_tokens_per_second * prefill_efficiency
    return prefill / (engine.decode_tokens_per_second * decode_efficiency)


def _service(
    engines: Sequence[RoleEngine], forecast: WorkForecast, defaults: Defaults
) -> float:
    """Return the part of the work, in [0, 1], that is served in time."""
    ratio = servable_ratio(engines, forecast)
    return min(1.0, ratio * defaults.target_utilization)


def _best_change(
    engines: list[RoleEngine],
    forecast: WorkForecast,
    change_seconds: float,
    defaults: Defaults,
    now_seconds: float,
) -> RoleChange | None:
    horizon_seconds = defaults.role_horizon_seconds
    if forecast.prompt_tokens_per_second + forecast.output_tokens_per_second <= 0:
        return None
    present = _service(engines, forecast, defaults)
    if present >= 1.0 or change_seconds >= horizon_seconds:
        return None
    best: tuple[float, int, int, str] | None = None
    chosen: RoleChange | None = None
    for engine in engines:
        others = [e for e in engines if e is not engine]
        if not _may_change(engine, others, defaults, now_seconds):
            continue
        absent = _service(others, forecast, defaults)
        for role in EngineRole:
            after = [*others, evolve(engine, role=role)]
            if role is engine.role or not _keeps_zones(engines, after):
                continue
            changed = _service(after, forecast, defaults)
            lost = (present - absent) * change_seconds
            won = (changed - present) * (horizon_seconds - change_seconds)
            gain_ratio = (won - lost) / horizon_seconds
            if gain_ratio < MIN_GAIN_RATIO:
                continue
            peers = sum(e.role is engine.role and e.zone == engine.zone for e in others)
            rank = (round(gain_ratio, 3), peers, -engine.running, engine.upstream_id)
            if best is None or rank > best:
                best = rank
                chosen = _change(engine, role, gain_ratio, present, changed, forecast)
    return chosen


def _may_change(
    engine: RoleEngine,
    others: list[RoleEngine],
    defaults: Defaults,
    now_seconds: float,
) -> bool:
    """Check the hold time and that others serve both phases meanwhile."""
    if engine.changed_seconds is not None:
        if now_seconds - engine.changed_seconds < defaults.role_hold_seconds:
            return False
    return all(
        any(other.role in phase for other in others)
        for phase in (_SERVES_PREFILL, _SERVES_DECODE)
    )


def _keeps_zones(before: list[RoleEngine], after: list[RoleEngine]) -> bool:
    """Check that no phase falls from several zones back to one."""
    return all(
        len(_zones(after, phase)) >= min(2, len(_zones(before, phase)))
        for phase in (_SERVES_PREFILL, _SERVES_DECODE)
    )


def _zones(engines: list[RoleEngine], phase: tuple[EngineRole, ...]) -> set[ZoneName]:
    return {engine.zone for engine in engines if engine.role in phase}


def _change(
    engine: RoleEngine,
    role: EngineRole,
    gain_ratio: float,
    present: float,
    changed: float,
    forecast: WorkForecast,
) -> RoleChange:
    reason = (
        f"{forecast.prompt_tokens_per_second:.0f} prompt and "
        f"{forecast.output_tokens_per_second:.0f} output tokens/s are expected; "
        f"{engine.role.value} to {role.value} raises the share served in time "
        f"from {present:.2f} to {changed:.2f}, a net gain of {gain_ratio:.2f}"
    )
    return RoleChange(
        engine.upstream_id, engine.model, engine.role, role, gain_ratio, reason
    )
