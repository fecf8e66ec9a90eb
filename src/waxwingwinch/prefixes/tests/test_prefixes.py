from hypothesis import given, settings, strategies

from waxwingwinch.prefixes import WORDS_PER_PREFIX_BLOCK, prefix_hashes

WORDS = strategies.lists(strategies.sampled_from(["oak", "ash", "elm"]), max_size=300)


@settings(deadline=None)
@given(WORDS)
def test_one_hash_for_each_full_block(words):
    assert len(prefix_hashes(" ".join(words))) == len(words) // WORDS_PER_PREFIX_BLOCK


@settings(deadline=None)
@given(WORDS, WORDS)
def test_appended_words_keep_the_earlier_hashes(words, more):
    short = prefix_hashes(" ".join(words))
    assert prefix_hashes(" ".join(words + more))[: len(short)] == short


def test_a_changed_first_word_changes_all_hashes():
    rest = ["oak"] * (3 * WORDS_PER_PREFIX_BLOCK - 1)
    first = prefix_hashes(" ".join(["ash", *rest]))
    second = prefix_hashes(" ".join(["elm", *rest]))
    assert len(first) == 3
    assert not set(first) & set(second)
