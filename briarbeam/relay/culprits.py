"""Finds the parts of prompts that explain why engines ended."""

import math
from dataclasses import dataclass, field

from .crash_evidence import MOMENT_S

# Minimum of separate crashes, and of different requests under which engines ended.
CRASHES_MIN = 3
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
# Lower limit for each moment at which engines end.
MOMENT_MIN_BITS = 1.0
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
    culprits, explained = [], set()
    while suspects:
        moments = _find_moments({n: r for n, r in runs.items() if n not in explained})
        weight_by_part = {
            part: _weigh(crashes, crashes.keys() - explained, moments, part in held)
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


def _weigh(crashes, names, moments, is_held):
    """Return the number of separate crashes and the evidence against a part in bits.

    Both are 0 if the evidence does not suffice.

    :param crashes: the crashes of the part by run.
    :param names: the runs that no other part explains.
    :param moments: the `_Moment` objects of all crashes that no other part explains.
    :param is_held: whether the part was held responsible before.
    """
    own = [moment for moment in moments if names & moment.names]
    if len(own) < CRASHES_MIN:
        return NO_EVIDENCE
    bits = _count_bits(crashes, names, own)
    if not is_held:
        misses = moments.index(own[-1]) - moments.index(own[0]) + 1 - len(own)
        bits -= misses * MISS_BITS
    if bits < EVIDENCE_MIN_BITS:
        return NO_EVIDENCE
    if bits < EVIDENCE_ALONE_BITS and not is_held:
        last_s = own[-1].at_s
        recent_count = sum(
            last_s - RECENT_S <= moment.at_s <= last_s for moment in moments
        )
        if 2 * len(own) <= recent_count:
            return NO_EVIDENCE
    return len(own), bits


def _count_bits(crashes, names, moments):
    """Return the evidence in bits, 0 if the crashes are under too few requests.

    :param moments: the `_Moment` objects in which any of the runs `names` ended.
    """
    seen, bits = set(), 0.0
    for moment in moments:
        requests = set().union(
            *(crashes[name].requests for name in names & moment.names)
        )
        if requests <= seen:
            bits += REPEAT_BITS
        else:
            ratio = REQUESTS_PER_PART / moment.request_count
            bits += max(MOMENT_MIN_BITS, math.log2(ratio))
        seen |= requests
    return bits if len(seen) >= REQUESTS_MIN else 0.0


@dataclass
class _Moment:
    at_s: float
    names: set = field(default_factory=set)
    request_count: int = 0


def _find_moments(runs):
    """Return the `_Moment` objects of `Run` objects by name, in order of time."""
    moments = []
    for name, run in sorted(runs.items(), key=lambda item: item[1].at_s):
        if not moments or run.at_s - moments[-1].at_s > MOMENT_S:
            moments.append(_Moment(run.at_s))
        moments[-1].names.add(name)
        moments[-1].request_count += run.count
    return moments
