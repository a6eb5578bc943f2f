"""Finds the suspects that explain why engines ended."""

import collections
import math

from ..kernel.registry import Registry
from .crash_evidence import MOMENT_S, count_moments
from .suspects import is_request

# Minimum of moments at which the crashes of a suspect came.
MOMENTS_MIN = 2
# The minimum of crashes of a part, and of different requests at them.
CRASHES_MIN = 3
REQUESTS_MIN = 2
# An engine that ends takes all its requests along, so a sound part that is in one of
# this many requests may be there by chance. More frequent ones are excused by answers.
REQUESTS_PER_PART = 200
# Evidence that is needed against a part. Each crash counts the more, the fewer requests
# may have caused it: 5.6 bits with four, 3.6 with sixteen.
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
# The minimum of crashes of a request. With fewer than `REQUEST_CRASHES_ALONE` it must
# also explain most of the crashes within `RECENT_S`: a sound request that is repeated
# is at two crashes of other causes now and then, and hardly ever at three.
REQUEST_CRASHES_MIN = 2
REQUEST_CRASHES_ALONE = 3
# Suspects with fewer crashes are not held responsible by any rule.
SUSPECT_CRASHES_MIN = min(CRASHES_MIN, REQUEST_CRASHES_MIN)
NO_EVIDENCE = (0, 0.0)

# The rules by the kind of suspect, in the order in which crashes are explained.
rules = Registry("rule for suspects")


def find_culprits(crashes_by_suspect, runs, held=frozenset()):
    """Return the groups of suspects that are held responsible, as sets.

    A crash that is explained by a suspect is not evidence against others. Suspects that
    were present at exactly the same crashes can't be told apart. They form a group,
    which is responsible only for requests that have all of it.

    :param crashes_by_suspect: as returned by `CrashEvidence.unexcused`, at least of
        those suspects with `SUSPECT_CRASHES_MIN`.
    :param runs: the `Run` objects of all crashes by their names.
    :param held: suspects that were held responsible before; crashes of other causes do
        not relieve them.
    """
    ordered = sorted(runs.items(), key=lambda item: (item[1].at_s, item[0]))
    culprits, explained = [], set()
    for _, make_rule in rules.items():
        rule = make_rule(crashes_by_suspect, held)
        while rule.suspects:
            ends = [(name, end) for name, end in ordered if name not in explained]
            weight_by_suspect = _weigh_all(rule, explained, ends, held)
            highest = max(weight_by_suspect.values())
            if highest == NO_EVIDENCE:
                break
            groups = {
                frozenset(rule.suspects[suspect])
                for suspect, weight in weight_by_suspect.items()
                if weight == highest
            }
            for names in groups:
                group = {s for s, c in rule.suspects.items() if c.keys() == names}
                if rule.may_be_held(group):
                    culprits.append(frozenset(group))
                explained |= names
    return culprits


def _weigh_all(rule, explained, ends, held):
    """Return the weights of the suspects of `rule`, as `_weigh` does for each.

    The parts of a long prompt mostly have the same crashes, which are weighed once.
    """
    weights, weight_by_suspect = {}, {}
    for suspect, crashes in rule.suspects.items():
        is_held = suspect in held
        key = (
            is_held,
            frozenset(
                (name, crash.begun, *sorted(crash.requests))
                for name, crash in crashes.items()
            ),
        )
        if key not in weights:
            weights[key] = _weigh(rule, crashes, explained, ends, is_held)
        weight_by_suspect[suspect] = weights[key]
    return weight_by_suspect


def _weigh(rule, crashes, explained, ends, is_held):
    """Return the number of crashes and the evidence against a suspect in bits.

    Both are 0 if the evidence does not suffice.

    :param crashes: the crashes of the suspect by run.
    :param explained: the runs that other suspects explain.
    :param ends: pairs of name and `Run` of all crashes that no other suspect explains,
        in order of time.
    :param is_held: whether the suspect was held responsible before.
    """
    names = crashes.keys() - explained
    own = [(name, end) for name, end in ends if name in names]
    if len(own) < rule.crashes_min:
        return NO_EVIDENCE
    if count_moments(end.at_s for _, end in own) < MOMENTS_MIN:
        return NO_EVIDENCE
    bits = rule.count_bits(crashes, own, ends, is_held)
    return NO_EVIDENCE if bits is None else (len(own), bits)


def _explains_most(own, ends):
    """Return whether `own` are more than half of the crashes of the last time."""
    last_s = own[-1][1].at_s + MOMENT_S
    recent = sum(last_s - RECENT_S <= end.at_s <= last_s for _, end in ends)
    return 2 * len(own) > recent


@rules.register("part")
class PartRule:
    """When a part of prompts is held responsible.

    A part is not suspected while one request, and no other, was at all its crashes,
    unless it was held responsible before.

    :param crashes_by_suspect: as in `find_culprits`, like `held`.
    """

    crashes_min = CRASHES_MIN

    def __init__(self, crashes_by_suspect, held):
        count_by_runs = collections.Counter(
            frozenset(crashes)
            for suspect, crashes in crashes_by_suspect.items()
            if is_request(suspect) and len(crashes) >= CRASHES_MIN
        )
        of_one_request = [runs for runs, count in count_by_runs.items() if count == 1]
        self.suspects = {
            suspect: crashes
            for suspect, crashes in crashes_by_suspect.items()
            if not is_request(suspect)
            and _has_enough_crashes(crashes)
            and (
                suspect in held
                or not any(crashes.keys() <= runs for runs in of_one_request)
            )
        }

    def may_be_held(self, group):
        """Return whether `group` may be held: parts may form one."""
        return True

    def count_bits(self, crashes, own, ends, is_held):
        """Return the evidence in bits, or None if it does not suffice.

        :param crashes: the crashes of the part by run.
        :param own: those of `ends` that it was present at.
        :param ends: as in `_weigh`.
        """
        bits = self._count_present(crashes, own)
        first_s, last_s = own[0][1].at_s - MOMENT_S, own[-1][1].at_s + MOMENT_S
        if not is_held:
            between = sum(first_s <= end.at_s <= last_s for _, end in ends)
            bits -= MISS_BITS * (between - len(own))
        if bits < EVIDENCE_MIN_BITS:
            return None
        is_clear = is_held or bits >= EVIDENCE_ALONE_BITS
        return bits if is_clear or _explains_most(own, ends) else None

    def _count_present(self, crashes, own):
        """Return the evidence from `own`, 0 if they are under too few requests."""
        seen, bits = set(), 0.0
        for name, end in own:
            requests = crashes[name].requests
            if requests <= seen:
                bits += REPEAT_BITS
            else:
                count = end.count_candidates(crashes[name])
                bits += max(CRASH_MIN_BITS, math.log2(REQUESTS_PER_PART / count))
            seen |= requests
        return bits if len(seen) >= REQUESTS_MIN else 0.0


@rules.register("request")
class RequestRule:
    """When a request is held responsible, with all its repetitions.

    :param crashes_by_suspect: as in `find_culprits`, like `held`.
    """

    crashes_min = REQUEST_CRASHES_MIN

    def __init__(self, crashes_by_suspect, held):
        self.suspects = {
            suspect: crashes
            for suspect, crashes in crashes_by_suspect.items()
            if is_request(suspect) and len(crashes) >= REQUEST_CRASHES_MIN
        }

    def may_be_held(self, group):
        """Return whether `group` may be held: of several requests only one may be."""
        return len(group) == 1

    def count_bits(self, crashes, own, ends, is_held):
        """Return the evidence in bits, or None if it does not suffice."""
        is_clear = is_held or len(own) >= REQUEST_CRASHES_ALONE
        if not (is_clear or _explains_most(own, ends)):
            return None
        return REPEAT_BITS * (len(own) - 1)


def _has_enough_crashes(crashes):
    requests = set().union(*(crash.requests for crash in crashes.values()))
    return len(crashes) >= CRASHES_MIN and len(requests) >= REQUESTS_MIN
