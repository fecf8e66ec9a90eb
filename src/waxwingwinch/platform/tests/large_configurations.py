"""Configurations of the size to design for."""

import json
import random


def large_configuration(routes=2_000):
    """Return a configuration whose paths and keys are random."""
    source = random.Random(7)
    return json.dumps(
        {
            "version": 7,
            "routes": [
                {
                    "name": f"route-{number}",
                    "host": f"shop{number % 16}.example",
                    "pathPrefix": f"/{source.randrange(16**6):06x}/{number}/",
                    "routeKind": "streaming",
                    "timeoutMs": 4_000,
                    "sloMs": 500,
                    "priority": 1,
                    "split": [
                        {"service": f"s{number % 22}", "weight": 90},
                        {"service": f"s{number % 21}", "weight": 10},
                    ],
                    "attempts": 2,
                    "resumable": True,
                }
                for number in range(routes)
            ],
            "tenants": [
                {"name": f"t{number}", "apiKeys": [source.randbytes(16).hex()]}
                for number in range(16)
            ],
        }
    ).encode()
