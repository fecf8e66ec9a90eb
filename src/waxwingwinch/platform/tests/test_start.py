"""Modules that the gateway imports at start."""

import json
import subprocess
import sys

import pytest

from waxwingwinch.platform.tests.standin import SOURCE

#: Modules that the gateway must not import at start: it needs them only later
#: or on a first request, or only other programs need them. Hundreds of
#: instances would each load them.
DEFERRED_MODULES = (
    "ruamel",
    "yaml",
    "certifi",
    "prometheus_client",
    "typer",
    "rich",
    "wsgiref",
    "waxwingwinch.adapters",
    "waxwingwinch.configuration",
    "waxwingwinch.contracts",
    "waxwingwinch.exposition",
    "waxwingwinch.interfaces",
    "waxwingwinch.reasons",
    "waxwingwinch.settings",
)


@pytest.fixture(scope="module")
def loaded():
    """Names of the modules that are loaded when the program is imported."""
    script = "import json, sys; import waxwingwinch.platform._main;"
    script += "print(json.dumps([*sys.modules]))"
    done = subprocess.run(
        [sys.executable, "-c", script],
        env={"PYTHONPATH": str(SOURCE)},
        check=True,
        capture_output=True,
    )
    return json.loads(done.stdout)


@pytest.mark.parametrize("name", DEFERRED_MODULES)
def test_a_start_does_not_load(loaded, name):
    """Guards the start time of hundreds of instances on small machines."""
    assert not [
        module for module in loaded if module == name or module.startswith(name + ".")
    ]
