import os
import subprocess
import sys
from pathlib import Path

import pytest

from waxwingwinch._types import Address
from waxwingwinch.findings import SettingsInvalid, format_findings
from waxwingwinch.settings import (
    ControlSettings,
    EntrySettings,
    load_configuration,
    load_settings,
    write_configuration,
)

ROOT = Path(__file__).resolve().parents[4]
EXAMPLES = ROOT / "docs" / "examples"

GOOD = """\
instance_id: entry-1
zone: iloilo
cell: tahi
expected_instances: 7
shared_secrets: [first, second]
peer_address: 127.0.0.1:8100
platform_address: 127.0.0.1:9000
listen_address: 127.0.0.1:8000
control_address: 127.0.0.1:8200
"""


def findings_of(load, tmp_path, text: str) -> list[str]:
    path = tmp_path / "file.yaml"
    path.write_text(text)
    with pytest.raises(SettingsInvalid) as caught:
        load(path)
    lines = format_findings(caught.value).splitlines()
    return [line.removeprefix(f"{path}:") for line in lines]


def load_entry(path: Path) -> EntrySettings:
    return load_settings(path, EntrySettings)


def test_good_file(tmp_path):
    path = tmp_path / "file.yaml"
    path.write_text(GOOD)
    settings = load_entry(path)
    assert settings.listen_address == Address("127.0.0.1", 8000)
    assert settings.secrets() == ("first", "second")


def test_secrets_from_file(tmp_path):
    secrets = tmp_path / "secrets"
    secrets.write_text("first\n\nsecond\n")
    path = tmp_path / "file.yaml"
    line = f"shared_secrets_file: {secrets}"
    path.write_text(GOOD.replace("shared_secrets: [first, second]", line))
    assert load_entry(path).secrets() == ("first", "second")


def test_all_findings_come_together_with_their_places(tmp_path):
    text = """\
instance_id: 5
zon: iloilo
cell: tahi
expected_instances: 0
shared_secrets: [first]
peer_address: localhost:8100
platform_address: 127.0.0.1
cell: again
listen_address: 127.0.0.1:99999
control_address: 127.0.0.1:8200
drift_ratio: fast
operator_tokens:
  - name: ana
    token: short
"""
    assert findings_of(load_entry, tmp_path, text) == [
        "1:1: zone: is missing",
        "1:14: instance_id: must be text, is 5",
        "2:1: zon: unknown key (did you mean 'zone'?)",
        "4:21: expected_instances: 'expected_instances' must be >= 1: 0",
        "6:15: peer_address: 'localhost' is not an IP number",
        "7:19: platform_address: '127.0.0.1' is not of the form host:port",
        "8:1: cell: duplicate key, first on line 3",
        "9:17: listen_address: port 99999 is not within 1 to 65535",
        "11:14: drift_ratio: must be a number, is 'fast'",
        "14:12: operator_tokens[0].token: Length of 'token' must be >= 8: 5",
    ]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("a: [1", "YAML syntax"),
        ("", "the file is empty"),
        ("- 1", "must be a mapping, is a list"),
        (GOOD.replace("[first, second]", "[]"), "give either shared_secrets or"),
        (GOOD + "peer_seeds: 127.0.0.1:1", "peer_seeds: must be a list"),
        (GOOD + "max_connections: true", "must be a whole number, is True"),
        (GOOD + "max_connections: !!int many", "max_connections: invalid literal"),
    ],
)
def test_wrong_files(tmp_path, text, expected):
    findings = findings_of(load_entry, tmp_path, text)
    assert len(findings) == 1
    assert expected in findings[0]


def test_missing_file(tmp_path):
    with pytest.raises(SettingsInvalid, match="not valid"):
        load_entry(tmp_path / "nothing.yaml")


def test_document_findings_have_places(tmp_path):
    text = """\
customers:
  tahi.main:
    rate_per_second: 0
    burst_requests: 1
    keys:
      - {key_id: k, key: secret}
routes:
  - {path: /a/, service: s, methods: [GTE], idempotent: true}
exceptions:
  big:
    scope: {kind: customer, name: tahi.man}
    setting: drain_second
    value: 1
    reason: holiday
"""
    assert findings_of(load_configuration, tmp_path, text) == [
        "3:22: customers.tahi.main.rate_per_second: must be finite and above 0, is 0",
        "8:38: routes./a/.methods: unsupported HTTP method 'GTE' (did you mean 'GET'?)",
        "11:12: exceptions.big.scope: unknown customer 'tahi.man' "
        "(did you mean 'tahi.main'?)",
        "13:12: exceptions.big.value: unknown setting 'drain_second' "
        "(did you mean 'drain_seconds'?)",
    ]


def test_written_document_reads_back(tmp_path):
    configuration = load_configuration(EXAMPLES / "tahi.yaml")
    path = tmp_path / "again.yaml"
    path.write_text(write_configuration(configuration))
    assert load_configuration(path) == configuration


@pytest.mark.parametrize("name", ["tahi", "greenwood"])
def test_deployment_examples(name):
    configuration = load_configuration(EXAMPLES / f"{name}.yaml")
    assert len(configuration.customers) == 5
    assert any(not route.idempotent for route in configuration.routes)


def test_program_examples():
    load_settings(EXAMPLES / "entry.yaml", EntrySettings)
    load_settings(EXAMPLES / "control.yaml", ControlSettings)


def test_reference_page_is_up_to_date():
    tool = ROOT / "tools" / "settings_reference.py"
    command = [sys.executable, str(tool), "--check"]
    environment = dict(os.environ, PYTHONPATH=str(ROOT / "src"))
    assert subprocess.run(command, env=environment, check=False).returncode == 0
