"""Names of the platform's wire formats occur only in the adapter."""

import re
from pathlib import Path

import waxwingwinch

PACKAGE = Path(waxwingwinch.__file__).parent
ADAPTER = PACKAGE / "platform"
#: Headers, fields, paths and settings of the platform's wire formats.
WIRE_NAMES = re.compile(
    r"X-Waxwingwinch|Server-Limit|Server-Leaving|apiKeys|bootS|coldLeftMs|desired\"|directoryAddr|fenceToken"
    r"|firstStart|gapTargetMs|graceS|hasMore|healthPath|heartbeatMs|kvCapacity"
    r"|kvHandle|kvTokenBytes|leaseMs|log-append|log-newest|log-read|maxConns"
    r"|nodeName|pathPrefix|plainTokens|portRange|quotaSlack|rateKind|ratePerS"
    r"|readyAddr|retryRatio|routeKind|sloMs|spotPrice|stageSwitchS|timeoutMs"
    r"|ttlS|usageWindowS|waitMs|windowId|zonePrices|/v1/resolve|/v1/kv-"
)


def test_wire_names_stay_in_the_adapter():
    found = [
        f"{path.relative_to(PACKAGE)}:{number}: {line.strip()}"
        for path in sorted(PACKAGE.rglob("*.py"))
        if ADAPTER not in path.parents
        for number, line in enumerate(path.read_text().splitlines(), start=1)
        if WIRE_NAMES.search(line)
    ]
    assert found == []


def test_the_adapter_contains_wire_names():
    text = "".join(path.read_text() for path in ADAPTER.glob("*.py"))
    assert WIRE_NAMES.search(text)
