"""Broken rules."""

from attrs import frozen

from waxwing_testbed.soak._events import Call


@frozen
class Case:
    """
    A broken rule.

    :param rule: Name of the rule.
    :param request_id: The request; empty if it is none's.
    :param instance: The instance.
    :param at_seconds: When it showed.
    :param detail: What was seen.
    """

    rule: str
    request_id: str
    instance: str
    at_seconds: float
    detail: str


def make_case(rule: str, call: Call, detail: str) -> Case:
    """
    Return the case of a request.

    :param rule: Name of the rule.
    :param call: The request.
    :param detail: What was seen.
    """
    text = f"{call.kind.value}: {detail}"
    return Case(rule, call.request_id, call.instance, call.ended_seconds, text)
