"""Copies of the weights that several stagers fetch at the same time."""

from briarbeam.distribution.copies import Copy
from briarbeam.distribution.ranking import chunk_subject, rank_entries
from briarbeam.platform.engines import Manifest

CHUNKS, ENTRIES, DAEMONS = 96, 10, 10
# Seconds that a chunk takes over the link of a stager, and over that of an entry.
DAEMON_CHUNK_S, ENTRY_CHUNK_S = 0.054, 0.0098
STEP_S = 0.001


def serving_entries():
    """Return the entry that serves each chunk."""
    entries = [(f"10.0.0.{n}", "z1") for n in range(ENTRIES)]
    subjects = [chunk_subject("m", 2, number) for number in range(CHUNKS)]
    return [rank_entries(entries, "z1", subject)[0] for subject in subjects]


def fetch_together(copies):
    """Return the seconds until all `copies` are complete; links are shared evenly."""
    entry_of, under_way, elapsed_s = serving_entries(), {}, 0.0
    while any(copy.missing() for copy in copies):
        for copy in copies:
            if copy not in under_way and copy.missing():
                under_way[copy] = [copy.next_number(), 1.0]
        asked = [entry_of[number] for number, _ in under_way.values()]
        for copy, (number, left) in list(under_way.items()):
            sharing = asked.count(entry_of[number])
            left -= STEP_S / max(DAEMON_CHUNK_S, ENTRY_CHUNK_S * sharing)
            under_way[copy][1] = left
            if left <= 0:
                copy.add(number, b"")
                del under_way[copy]
        elapsed_s += STEP_S
    return elapsed_s


def test_daemons_that_join_together_ask_several_entries_from_the_start():
    """An entry starts its downloads at the first request, so none may be asked late.

    Stagers that asked in the same order came to one entry after another.
    """
    entry_of, manifest = serving_entries(), Manifest("m", 2, ("",) * CHUNKS)
    numbers = [Copy(manifest).next_number() for _ in range(40)]
    assert len({entry_of[number] for number in numbers}) >= 4


def test_daemons_that_fetch_together_do_not_wait_for_one_entry_after_another():
    """In the same order, they share one entry's link while the other links are idle."""
    manifest = Manifest("m", 2, ("",) * CHUNKS)
    copies = [Copy(manifest) for _ in range(DAEMONS)]
    assert fetch_together(copies) < 1.25 * CHUNKS * DAEMON_CHUNK_S


def test_chunks_that_no_entry_had_are_not_asked_for_at_once():
    copy = Copy(Manifest("m", 2, ("",) * 3))
    copy.record_miss(0)
    assert 0 not in {copy.next_number() for _ in range(50)}
