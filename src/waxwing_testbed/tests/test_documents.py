import re
from pathlib import Path

import pytest

from waxwing_testbed.standins import load_settings as load_standin_settings
from waxwingwinch.settings import (
    ControlSettings,
    EntrySettings,
    load_configuration,
    load_settings,
)

ROOT = Path(__file__).resolve().parents[3]
TUTORIAL = ROOT / "docs" / "examples" / "tutorial"
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_between_pages_lead_somewhere(page):
    targets = re.findall(r"\]\(([^)#:\s]+)\)", page.read_text())
    missing = [target for target in targets if not (page.parent / target).exists()]
    assert missing == []


def test_settings_of_the_tutorial_fit_together():
    standin = load_standin_settings(TUTORIAL / "standin.yaml")
    entry = load_settings(TUTORIAL / "entry.yaml", EntrySettings)
    control = load_settings(TUTORIAL / "control.yaml", ControlSettings)
    configuration = load_configuration(TUTORIAL / "configuration.yaml")
    assert standin.platform is not None
    (listed,) = standin.platform.instances
    assert listed.entry_address == entry.listen_address
    assert listed.peer_address == entry.peer_address == control.entry_peer_address
    assert listed.control_address == entry.control_address == control.peer_address
    assert entry.platform_address == control.platform_address
    assert standin.platform.address == entry.platform_address
    assert {engine.model for engine in standin.engines} == set(configuration.models)
    routed = {route.service for route in configuration.routes}
    assert routed == {plain.service for plain in standin.plain_services}
