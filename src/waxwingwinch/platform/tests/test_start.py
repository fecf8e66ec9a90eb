"""What the program loads before it serves."""

import json
import subprocess
import sys

import pytest

from waxwingwinch.platform.tests.standin import SOURCE

#: Modules that one instance needs late, other programs need, or nobody does
#: before a first question; each would be loaded by hundreds of instances.
LATE = (
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
    """Names of the modules that are loaded with the program."""
    script = "import json, sys; import waxwingwinch.platform._main;"
    script += "print(json.dumps([*sys.modules]))"
    done = subprocess.run(
        [sys.executable, "-c", script],
        env={"PYTHONPATH": str(SOURCE)},
        check=True,
        capture_output=True,
    )
    return json.loads(done.stdout)


@pytest.mark.parametrize("name", LATE)
def test_a_start_does_not_load(loaded, name):
    """Pattern: hundreds of instances on small machines start together."""
    assert not [one for one in loaded if one == name or one.startswith(name + ".")]
