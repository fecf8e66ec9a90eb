"""Fetching prefilled KV cache from another engine."""

import json

import urllib3

from waxwingwinch._types import Address

EXPORT_PATH = "/v1/kv-export"
#: Longest wait for the other engine.
_TIMEOUT_SECONDS = 2.0


def import_kv(source: Address, request_id: str) -> bool:
    """
    Take over the KV cache of a prefilled prompt.

    :param source: The engine that read the prompt.
    :param request_id: Name of the generation.
    :returns: False if the other engine doesn't have it.
    """
    try:
        answer = urllib3.request(
            "POST",
            f"http://{source}{EXPORT_PATH}",
            body=json.dumps({"request_id": request_id}),
            timeout=_TIMEOUT_SECONDS,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status == 200
