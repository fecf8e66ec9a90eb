"""Whole deployments in real processes, for tests, demo and measurements."""

from waxwing_testbed.deployment._deployment import (
    Deployment,
    DeploymentFailed,
    Instance,
)
from waxwing_testbed.deployment._operator import TestOperator
from waxwing_testbed.deployment._plan import (
    DeploymentPlan,
    EngineGroup,
    PlainGroup,
    greenwood_plan,
    tahi_plan,
)
from waxwing_testbed.deployment._process import ManagedProcess
from waxwing_testbed.deployment._settings_files import OPERATOR_TOKEN, SHARED_SECRET

__all__ = [
    "OPERATOR_TOKEN",
    "SHARED_SECRET",
    "Deployment",
    "DeploymentFailed",
    "DeploymentPlan",
    "EngineGroup",
    "Instance",
    "ManagedProcess",
    "PlainGroup",
    "TestOperator",
    "greenwood_plan",
    "tahi_plan",
]
