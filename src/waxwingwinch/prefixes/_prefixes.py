"""The hash chain over the words of a prompt."""

import hashlib

#: Words that one link of the chain covers; a shorter rest has no hash.
WORDS_PER_PREFIX_BLOCK = 64

#: Length of one hash in bytes; hex doubles it.
_DIGEST_BYTES = 8


def prefix_hashes(text: str) -> tuple[str, ...]:
    """
    Return one hash for each full block of words.

    Each hash covers its block and all before it, so two prompts share as
    many leading hashes as they share leading blocks.

    :param text: The prompt; its words are separated by whitespace.
    """
    words = text.split()
    full_blocks = len(words) // WORDS_PER_PREFIX_BLOCK
    hashes = []
    previous = b""
    for block in range(full_blocks):
        start = block * WORDS_PER_PREFIX_BLOCK
        covered = " ".join(words[start : start + WORDS_PER_PREFIX_BLOCK])
        digest = hashlib.blake2b(previous + covered.encode(), digest_size=_DIGEST_BYTES)
        previous = digest.digest()
        hashes.append(previous.hex())
    return tuple(hashes)
