"""Hash chains over prompts, which identify cached prefixes."""

from waxwingwinch.prefixes._prefixes import WORDS_PER_PREFIX_BLOCK, prefix_hashes

__all__ = ["WORDS_PER_PREFIX_BLOCK", "prefix_hashes"]
