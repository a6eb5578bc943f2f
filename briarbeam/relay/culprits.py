"""Finds the parts of prompts that explain why engines ended."""

import math

from .crash_evidence import MOMENT_S, count_moments

# Minimum of crashes, of moments at which they came, and of different requests.
CRASHES_MIN = 3
MOMENTS_MIN = 2
REQUESTS_MIN = 2
# An engine that ends takes all its requests along, so a sound part that is in one of
# this many requests may be there by chance. More frequent ones are excused by answers.
REQUESTS_PER_PART = 200
# Evidence that is needed against a part. Each crash counts the more, the fewer requests
# the engine had not begun: 5.6 bits with four, 3.6 with sixteen.
EVIDENCE_MIN_BITS = 15.0
# Evidence from a crash under a request that was at an earlier one, too: engines that end
# one after the other hit sound requests again when they are repeated.
REPEAT_BITS = 2.5
# Lower limit for each crash.
CRASH_MIN_BITS = 1.0
# Evidence against the responsibility of a part from a crash, between those that it was
# present at, without it.
MISS_BITS = 2.0
# With less than this much evidence, a part must also explain most of the crashes within
# `RECENT_S`. Many crashes of another cause hit some part several times by chance.
EVIDENCE_ALONE_BITS = 30.0
RECENT_S = 60.0
NO_EVIDENCE = (0, 0.0)


def find_culprits(crashes_by_part, runs, held=frozenset()):
    """Return the groups of parts that are held responsible, as sets of parts.

    A crash that is explained by a part is not evidence against others. Parts that were
    present at exactly the same crashes can't be told apart. They form a group, which
    is responsible only for requests that have all its parts.

    :param crashes_by_part: as returned by `CrashEvidence.unexcused`.
    :param runs: the `Run` objects of all crashes by their names.
    :param held: parts that were held responsible before; crashes of other causes do not
        relieve them.
    """
    suspects = {p: c for p, c in crashes_by_part.items() if _is_suspect(c)}
    ordered = sorted(runs.items(), key=lambda item: (item[1].at_s, item[0]))
    culprits, explained = [], set()
    while suspects:
        ends = [(name, end) for name, end in ordered if name not in explained]
        weight_by_part = {
            part: _weigh(crashes, crashes.keys() - explained, ends, part in held)
            for part, crashes in suspects.items()
        }
        highest = max(weight_by_part.values())
        if highest == NO_EVIDENCE:
            break
        groups = {
            frozenset(suspects[part])
            for part, weight in weight_by_part.items()
            if weight == highest
        }
        for names in groups:
            parts = {part for part, c in suspects.items() if c.keys() == names}
            culprits.append(frozenset(parts))
            explained |= names
    return culprits


def _is_suspect(crashes):
    requests = set().union(*(crash.requests for crash in crashes.values()))
    return len(crashes) >= CRASHES_MIN and len(requests) >= REQUESTS_MIN


def _weigh(crashes, names, ends, is_held):
    """Return the number of crashes and the evidence against a part in bits.

    Both are 0 if the evidence does not suffice.

    :param crashes: the crashes of the part by run.
    :param names: the runs that no other part explains.
    :param ends: pairs of name and `Run` of all crashes that no other part explains, in
        order of time.
    :param is_held: whether the part was held responsible before.
    """
    own = [(name, end) for name, end in ends if name in names]
    moments = count_moments(end.at_s for _, end in own)
    if len(own) < CRASHES_MIN or moments < MOMENTS_MIN:
        return NO_EVIDENCE
    bits = _count_bits(crashes, own)
    first_s, last_s = own[0][1].at_s - MOMENT_S, own[-1][1].at_s + MOMENT_S
    if not is_held:
        between = sum(first_s <= end.at_s <= last_s for _, end in ends)
        bits -= MISS_BITS * (between - len(own))
    if bits < EVIDENCE_MIN_BITS:
        return NO_EVIDENCE
    if bits < EVIDENCE_ALONE_BITS and not is_held:
        recent = sum(last_s - RECENT_S <= end.at_s <= last_s for _, end in ends)
        if 2 * len(own) <= recent:
            return NO_EVIDENCE
    return len(own), bits


def _count_bits(crashes, ends):
    """Return the evidence in bits, 0 if the crashes are under too few requests.

    :param crashes: the crashes of a part by run.
    :param ends: pairs of the name of a run that it was present at and its `Run`.
    """
    seen, bits = set(), 0.0
    for name, end in ends:
        requests = crashes[name].requests
        if requests <= seen:
            bits += REPEAT_BITS
        else:
            bits += max(CRASH_MIN_BITS, math.log2(REQUESTS_PER_PART / end.count))
        seen |= requests
    return bits if len(seen) >= REQUESTS_MIN else 0.0
