"""The answers that the stand-in engines generate."""

import functools
import hashlib

_DIGEST_BYTES = 4


@functools.lru_cache(maxsize=1_024)
def _prompt_digest(prompt: str) -> str:
    return hashlib.blake2b(prompt.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def expected_token(prompt: str, index: int) -> str:
    """
    Return one token of the answer to a prompt.

    :param prompt: The prompt as the engine received it.
    :param index: Position in the answer, from 0.
    """
    return f"{_prompt_digest(prompt)}.{index} "
