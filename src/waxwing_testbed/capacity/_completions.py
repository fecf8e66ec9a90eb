"""Streamed completions asked of an entry."""

import json

import urllib3

from waxwing_testbed.capacity._idle import MODEL
from waxwing_testbed.scenario import WIDE, key_of
from waxwingwinch._types import Address

PROMPT = " ".join(["word"] * 200)
#: Longest part of a body that is read at once.
READ_BYTES = 65_536
#: Comes once in each token's event.
TOKEN_MARK = b'"text"'


def open_completion(address: Address, tokens: int) -> urllib3.BaseHTTPResponse:
    """
    Ask for a completion on a new connection.

    :param address: The entry.
    :param tokens: Length of the answer.
    :returns: The response, its body unread.
    :raises RuntimeError: If it was refused.
    """
    body = {
        "model": str(MODEL),
        "prompt": PROMPT,
        "max_tokens": tokens,
        "stream": True,
    }
    response = urllib3.PoolManager(num_pools=1).request(
        "POST",
        f"http://{address}/v1/completions",
        body=json.dumps(body).encode(),
        headers={
            "Authorization": f"Bearer {key_of(WIDE)}",
            "Content-Type": "application/json",
            "Connection": "close",
        },
        retries=False,
        preload_content=False,
    )
    if response.status != 200:
        raise RuntimeError(f"status {response.status}: {response.data!r}")
    return response
