"""Accepted ranges of the default settings."""

import math

from attrs import fields_dict, frozen

from waxwingwinch.configuration._findings import Finding, closest_name
from waxwingwinch.configuration._model import Defaults

#: Largest accepted value of settings that are terms or periods.
MAX_PERIOD_SECONDS = 86_400.0


@frozen
class SettingRange:
    """
    Accepted values of one setting.

    :param lowest: Smallest accepted value.
    :param highest: Largest accepted value.
    """

    lowest: float
    highest: float


#: Accepted range of each setting, by name.
SETTING_RANGES = {
    "request_timeout_seconds": SettingRange(0.1, 3_600.0),
    "max_output_tokens": SettingRange(1, 1_000_000),
    "max_body_bytes": SettingRange(1_024, 64 * 1_024 * 1_024),
    "retry_budget_ratio": SettingRange(0.0, 1.0),
    "floor_fraction": SettingRange(0.0, 1.0),
    "floor_term_seconds": SettingRange(10.0, MAX_PERIOD_SECONDS),
    "extra_term_seconds": SettingRange(0.1, 60.0),
    "freshness_seconds": SettingRange(0.5, 60.0),
    "first_token_seconds": SettingRange(0.001, 600.0),
    "between_tokens_seconds": SettingRange(0.001, 60.0),
    "promised_ratio": SettingRange(0.0, 1.0),
    "usage_window_seconds": SettingRange(1, MAX_PERIOD_SECONDS),
    "role_horizon_seconds": SettingRange(1.0, MAX_PERIOD_SECONDS),
    "role_hold_seconds": SettingRange(0.0, MAX_PERIOD_SECONDS),
    "drain_seconds": SettingRange(0.0, MAX_PERIOD_SECONDS),
    "min_engines_per_model": SettingRange(0, 10_000),
    "max_engines_per_model": SettingRange(0, 10_000),
    "cheap_ratio_max": SettingRange(0.0, 1.0),
    "survive_zone_loss": SettingRange(0, 1),
    "target_utilization": SettingRange(0.01, 1.0),
    "spend_weight": SettingRange(0.0, 1_000.0),
    "fairness_weight": SettingRange(0.0, 1_000.0),
    "discovery_ttl_seconds": SettingRange(0.1, 3_600.0),
}


def check_setting(place: str, setting: str, value: float) -> tuple[Finding, ...]:
    """
    Check the value of a setting.

    :param place: Dotted path of the value.
    :param setting: Name of the setting.
    :param value: The value.
    """
    bounds = SETTING_RANGES.get(setting)
    if bounds is None:
        suggestion = closest_name(setting, SETTING_RANGES)
        return (Finding(place, f"unknown setting {setting!r}", suggestion),)
    if not math.isfinite(value) or not bounds.lowest <= value <= bounds.highest:
        problem = f"{value:g} is not within {bounds.lowest:g} to {bounds.highest:g}"
        return (Finding(place, problem),)
    if _is_integer(setting) and value != int(value):
        return (Finding(place, f"{value:g} is not a whole number"),)
    return ()


def _is_integer(setting: str) -> bool:
    return fields_dict(Defaults)[setting].type in (int, bool)
