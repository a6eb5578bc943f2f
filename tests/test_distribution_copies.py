"""Copies of the weights that several stagers fetch at the same time."""

from briarbeam.distribution.copies import Copy
from briarbeam.distribution.ranking import chunk_subject, rank_entries
from briarbeam.platform.engines import Manifest

CHUNKS, ENTRIES, STAGERS = 96, 10, 10
# Seconds to transfer a chunk over the link of a stager, and over that of an entry.
STAGER_CHUNK_S, ENTRY_CHUNK_S = 0.054, 0.0098
STEP_S = 0.001


def serving_entries():
    """Return, for each chunk, the host of the entry that serves it."""
    entries = [(f"10.0.0.{n}", "z1") for n in range(ENTRIES)]
    subjects = [chunk_subject("m", 2, number) for number in range(CHUNKS)]
    return [rank_entries(entries, "z1", subject)[0] for subject in subjects]


def fetch_together(copies):
    """Return the simulated seconds until all `copies` are complete.

    Each copy fetches one chunk at a time, and fetches from one entry share its link
    evenly.
    """
    entry_by_chunk, fetches, elapsed_s = serving_entries(), {}, 0.0
    while any(copy.missing() for copy in copies):
        for copy in copies:
            if copy not in fetches and copy.missing():
                fetches[copy] = [copy.next_number(), 1.0]
        used_entries = [entry_by_chunk[number] for number, _ in fetches.values()]
        for copy, (number, left) in list(fetches.items()):
            share_count = used_entries.count(entry_by_chunk[number])
            left -= STEP_S / max(STAGER_CHUNK_S, ENTRY_CHUNK_S * share_count)
            fetches[copy][1] = left
            if left <= 0:
                copy.add(number, b"")
                del fetches[copy]
        elapsed_s += STEP_S
    return elapsed_s


def test_stagers_that_start_together_use_several_entries_from_the_start():
    """An entry starts its downloads at the first request, so each should get one early.

    Stagers that requested the chunks in the same order used one entry after another.
    """
    entry_by_chunk, manifest = serving_entries(), Manifest("m", 2, ("",) * CHUNKS)
    numbers = [Copy(manifest).next_number() for _ in range(40)]
    assert len({entry_by_chunk[number] for number in numbers}) >= 4


def test_stagers_that_fetch_together_do_not_wait_for_one_entry_after_another():
    """In the same order, they would share one entry's link while others are idle."""
    manifest = Manifest("m", 2, ("",) * CHUNKS)
    copies = [Copy(manifest) for _ in range(STAGERS)]
    assert fetch_together(copies) < 1.25 * CHUNKS * STAGER_CHUNK_S


def test_chunk_that_no_entry_had_is_not_requested_again_immediately():
    copy = Copy(Manifest("m", 2, ("",) * 3))
    copy.record_miss(0)
    assert 0 not in {copy.next_number() for _ in range(50)}
