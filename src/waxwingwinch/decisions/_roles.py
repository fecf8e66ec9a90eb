"""Role planning: which engines change their role."""

from collections.abc import Sequence

from attrs import evolve, frozen

from waxwingwinch._types import EngineRole, ModelName, UpstreamId, ZoneName
from waxwingwinch.configuration import Defaults
from waxwingwinch.decisions._forecast import WorkForecast

#: Fraction of its speed that a mixed engine has in both phases, since the
#: prefill of a prompt delays the tokens of running generations.
MIXED_EFFICIENCY = 0.9
#: Fraction of its speed that an engine has in the phase that its role is not
#: set up for, when routing uses it for that phase. The inverse of
#: ``OFF_ROLE_SLOWDOWN_FACTOR`` of the load estimates.
OFF_ROLE_EFFICIENCY = 0.5
#: Minimum net gain of a change, as a fraction of the work of the horizon.
MIN_GAIN_RATIO = 0.05
#: Bisection steps of the search for the servable ratio of the work.
BISECTION_STEPS = 30

#: Unserved work that the search ignores as rounding error, in tokens per
#: second.
TOLERANCE_TOKENS_PER_SECOND = 1e-6

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
    An engine in service.

    :param upstream_id: Id of the engine.
    :param zone: Its availability zone.
    :param model: Its model.
    :param role: Its role.
    :param prefill_tokens_per_second: Prefill speed without decode work.
    :param decode_tokens_per_second: Decode speed without prefill work.
    :param running: Number of running generations.
    :param changed_seconds: Monotonic time of its last role change; None if
        there was none.
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
    Input of role planning.

    :param engines: The engines in service; no other engine is counted as
        capacity.
    :param forecasts: Expected work over ``role_horizon_seconds``.
    :param changing_models: Models with a role change in progress.
    :param change_seconds: Time for which a role change takes an engine out
        of service, drain included.
    """

    engines: tuple[RoleEngine, ...]
    forecasts: tuple[WorkForecast, ...]
    changing_models: frozenset[ModelName] = frozenset()
    change_seconds: float = 5.0


@frozen
class RoleChange:
    """
    A role change to make.

    :param upstream_id: Id of the engine.
    :param model: Its model.
    :param from_role: Current role.
    :param to_role: New role.
    :param gain_ratio: Net gain in work served in time, as a fraction of the
        work of the horizon.
    :param reason: Reason of the change, in one sentence.
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

    :param state: Engines, forecasts and changes in progress.
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
    Return the multiple of the forecast work that the engines can serve.

    Each engine can divide its time between prefill and decode. Prefill work
    is assigned to engines in order of their relative prefill speed, which
    is the optimal assignment.

    :param engines: Engines of one model.
    :param forecast: The forecast work; at least one rate must be positive.
    """
    low, high = 0.0, 1.0
    while _can_serve(engines, forecast, high) and high < 1e6:
        low, high = high, 2 * high
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _can_serve(engines, forecast, middle):
            low = middle
        else:
            high = middle
    return low


def _can_serve(
    engines: Sequence[RoleEngine], forecast: WorkForecast, ratio: float
) -> bool:
    unserved_prompt_tokens = ratio * forecast.prompt_tokens_per_second
    unserved_output_tokens = ratio * forecast.output_tokens_per_second
    for engine in sorted(engines, key=_prefill_advantage, reverse=True):
        prefill_efficiency, decode_efficiency = _EFFICIENCIES[engine.role]
        prefill = engine.prefill_tokens_per_second * prefill_efficiency
        decode = engine.decode_tokens_per_second * decode_efficiency
        prefill_time_fraction = min(1.0, unserved_prompt_tokens / prefill)
        unserved_prompt_tokens -= prefill_time_fraction * prefill
        unserved_output_tokens -= (1.0 - prefill_time_fraction) * decode
    return (
        unserved_prompt_tokens <= TOLERANCE_TOKENS_PER_SECOND
        and unserved_output_tokens <= TOLERANCE_TOKENS_PER_SECOND
    )


def _prefill_advantage(engine: RoleEngine) -> float:
    """Return the ratio of an engine's prefill speed to its decode speed."""
    prefill_efficiency, decode_efficiency = _EFFICIENCIES[engine.role]
    prefill = engine.prefill_tokens_per_second * prefill_efficiency
    return prefill / (engine.decode_tokens_per_second * decode_efficiency)


def _served_ratio(
    engines: Sequence[RoleEngine], forecast: WorkForecast, defaults: Defaults
) -> float:
    """
    Return the fraction of the work, in [0, 1], that is served in time.

    Work counts as served in time up to ``target_utilization`` of the capacity.
    """
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
    current_ratio = _served_ratio(engines, forecast, defaults)
    if current_ratio >= 1.0 or change_seconds >= horizon_seconds:
        return None
    best: tuple[float, int, int, str] | None = None
    chosen: RoleChange | None = None
    for engine in engines:
        others = [e for e in engines if e is not engine]
        if not _may_change(engine, others, defaults, now_seconds):
            continue
        ratio_during_change = _served_ratio(others, forecast, defaults)
        for role in EngineRole:
            after = [*others, evolve(engine, role=role)]
            if role is engine.role or not _keeps_zone_redundancy(engines, after):
                continue
            ratio_after_change = _served_ratio(after, forecast, defaults)
            lost = (current_ratio - ratio_during_change) * change_seconds
            gained = (ratio_after_change - current_ratio) * (
                horizon_seconds - change_seconds
            )
            gain_ratio = (gained - lost) / horizon_seconds
            if gain_ratio < MIN_GAIN_RATIO:
                continue
            same_role_in_zone = sum(
                e.role is engine.role and e.zone == engine.zone for e in others
            )
            rank = (
                round(gain_ratio, 3),
                same_role_in_zone,
                -engine.running,
                engine.upstream_id,
            )
            if best is None or rank > best:
                best = rank
                chosen = _make_change(
                    engine,
                    role,
                    gain_ratio,
                    current_ratio,
                    ratio_after_change,
                    forecast,
                )
    return chosen


def _may_change(
    engine: RoleEngine,
    others: list[RoleEngine],
    defaults: Defaults,
    now_seconds: float,
) -> bool:
    """Check the hold time and that other engines serve both phases."""
    if engine.changed_seconds is not None:
        if now_seconds - engine.changed_seconds < defaults.role_hold_seconds:
            return False
    return all(
        any(other.role in serving_roles for other in others)
        for serving_roles in (_SERVES_PREFILL, _SERVES_DECODE)
    )


def _keeps_zone_redundancy(before: list[RoleEngine], after: list[RoleEngine]) -> bool:
    """Check that no phase is reduced from several zones to a single zone."""
    return all(
        len(_zones(after, serving_roles)) >= min(2, len(_zones(before, serving_roles)))
        for serving_roles in (_SERVES_PREFILL, _SERVES_DECODE)
    )


def _zones(
    engines: list[RoleEngine], serving_roles: tuple[EngineRole, ...]
) -> set[ZoneName]:
    return {engine.zone for engine in engines if engine.role in serving_roles}


def _make_change(
    engine: RoleEngine,
    role: EngineRole,
    gain_ratio: float,
    current_ratio: float,
    ratio_after_change: float,
    forecast: WorkForecast,
) -> RoleChange:
    reason = (
        f"{forecast.prompt_tokens_per_second:.0f} prompt and "
        f"{forecast.output_tokens_per_second:.0f} output tokens/s are expected; "
        f"{engine.role.value} to {role.value} raises the share served in time "
        f"from {current_ratio:.2f} to {ratio_after_change:.2f}, a net gain of "
        f"{gain_ratio:.2f}"
    )
    return RoleChange(
        engine.upstream_id, engine.model, engine.role, role, gain_ratio, reason
    )
