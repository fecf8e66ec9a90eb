"""Reading the options of ``waxwing-load``."""

from collections.abc import Sequence

from attrs import frozen

from waxwingwinch._exceptions import WaxwingError
from waxwingwinch._types import Address


class OptionFinding(WaxwingError):
    """
    A malformed option.

    :param option: Name of the option.
    :param value: Its value.
    :param problem: What is wrong.
    """

    def __init__(self, option: str, value: str, problem: str) -> None:
        super().__init__(f"{option} {value}: {problem}")


class OptionsInvalid(ExceptionGroup[OptionFinding]):
    """All findings of all options."""

    def derive(self, excs: Sequence[OptionFinding]) -> "OptionsInvalid":  # type: ignore[override]
        """
        Make a group of the same class.

        :param excs: Some of the findings.
        """
        return OptionsInvalid(self.message, excs)


@frozen
class CustomerKey:
    """
    A customer and its key.

    :param customer_id: The customer.
    :param key: The key.
    """

    customer_id: str
    key: str


@frozen
class CustomerLimit:
    """
    What a customer may get.

    :param customer_id: The customer.
    :param rate_per_second: Its rate.
    :param burst_requests: Its burst.
    """

    customer_id: str
    rate_per_second: float
    burst_requests: float


@frozen
class Targets:
    """
    Whom to call, as whom, within what.

    :param entries: Addresses of entries.
    :param keys: One for each customer.
    :param limits: Those to check.
    """

    entries: tuple[Address, ...]
    keys: tuple[CustomerKey, ...]
    limits: tuple[CustomerLimit, ...]


def parse_targets(
    entries: Sequence[str], keys: Sequence[str], limits: Sequence[str]
) -> Targets:
    """
    Read the repeated options.

    :param entries: Each ``host:port``.
    :param keys: Each ``customer=key``.
    :param limits: Each ``customer=rate,burst``.
    :raises OptionsInvalid: With everything that is malformed.
    """
    findings: list[OptionFinding] = []
    targets = Targets(
        tuple(_parse_entries(entries, findings)),
        tuple(_parse_keys(keys, findings)),
        tuple(_parse_limits(limits, findings)),
    )
    if findings:
        raise OptionsInvalid("malformed options", findings)
    return targets


def _parse_entries(
    entries: Sequence[str], findings: list[OptionFinding]
) -> list[Address]:
    parsed = []
    for text in entries:
        try:
            parsed.append(Address.parse(text))
        except ValueError as error:
            findings.append(OptionFinding("--entry", text, str(error)))
    return parsed


def _parse_keys(
    keys: Sequence[str], findings: list[OptionFinding]
) -> list[CustomerKey]:
    parsed = []
    for text in keys:
        customer_id, separator, key = text.partition("=")
        if separator and customer_id and key:
            parsed.append(CustomerKey(customer_id, key))
        else:
            # The value may hold a key, which must not be printed.
            finding = OptionFinding("--key", "", "is not of the form customer=key")
            findings.append(finding)
    return parsed


def _parse_limits(
    limits: Sequence[str], findings: list[OptionFinding]
) -> list[CustomerLimit]:
    parsed = []
    for text in limits:
        customer_id, _, figures = text.partition("=")
        rate, _, burst = figures.partition(",")
        try:
            parsed.append(CustomerLimit(customer_id, float(rate), float(burst)))
        except ValueError:
            problem = "is not of the form customer=rate,burst"
            findings.append(OptionFinding("--limit", text, problem))
    return parsed
