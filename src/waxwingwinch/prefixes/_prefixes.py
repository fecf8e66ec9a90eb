"""The hash chain over the words of a prompt."""

import hashlib

#: Number of words in a block of the hash chain; a shorter rest has no hash.
WORDS_PER_PREFIX_BLOCK = 64

#: Length of a hash in bytes; its hexadecimal form has twice as many digits.
_DIGEST_BYTES = 8


def prefix_hashes(text: str) -> tuple[str, ...]:
    """
    Return a hash for each full block of words.

    Each hash covers its block and all preceding blocks, so two prompts share
    as many leading hashes as they share leading blocks.

    :param text: The prompt; its words are separated by whitespace.
    """
    words = text.split()
    full_blocks = len(words) // WORDS_PER_PREFIX_BLOCK
    hashes = []
    previous = b""
    for block_index in range(full_blocks):
        start = block_index * WORDS_PER_PREFIX_BLOCK
        block_text = " ".join(words[start : start + WORDS_PER_PREFIX_BLOCK])
        digest = hashlib.blake2b(
            previous + block_text.encode(), digest_size=_DIGEST_BYTES
        )
        previous = digest.digest()
        hashes.append(previous.hex())
    return tuple(hashes)
