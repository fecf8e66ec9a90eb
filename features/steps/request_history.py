"""Steps that check the whole history of a feature."""

from behave import then

from waxwing_testbed.scenario import request_violations


@then("the history keeps the promises about requests")
def step_history(context):
    violations = request_violations(context.world)
    assert not violations, violations
