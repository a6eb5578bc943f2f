"""Compares the costs of two strategies to run a call at most once.

Prints one JSON line per case and strategy: platform calls per request, and the share of
requests that are answered, refused as not run, or unknown, while the platform or a
target is unavailable. The first strategy is the claims that gates use. The second, a
table in the memory of a home target chosen by rendezvous hashing, is only a trial here.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import random  # noqa: E402
from collections import Counter  # noqa: E402

from briarbeam.gate.claims import Claim, Claims  # noqa: E402
from briarbeam.kernel.clock import ManualClock  # noqa: E402
from briarbeam.kernel.errors import (  # noqa: E402
    BriarbeamError,
    ConflictError,
    NotFoundError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    PlatformUnknownError,
    Ran,
    UnavailableError,
)
from briarbeam.membership.members import rendezvous_order  # noqa: E402
from briarbeam.objects.client import StoredObject  # noqa: E402

TARGETS = tuple(f"target-{number}" for number in range(3))
REQUESTS = 1000
REPEATED_SHARE = 0.02
LOST_SHARE = 0.05


class InMemoryObjects:
    """An in-memory object API that counts its calls.

    :param mode: ``ok``, ``down``, or ``losing``, which loses answers to some writes.
    """

    def __init__(self, mode, rng):
        self.mode = mode
        self.calls = 0
        self._rng = rng
        self._stored = {}
        self._revision = 0

    def get(self, kind, name):
        """Return an object.

        :raises NotFoundError: if there is none of this name.
        """
        self._begin_call()
        if name not in self._stored:
            raise NotFoundError(name)
        return StoredObject(kind, name, *self._stored[name])

    def put(self, kind, name, value, if_version=None):
        """Write an object and return its version.

        :param if_version: the version that must be stored, 0 for none; None for any.
        :raises ConflictError: if another version is stored.
        """
        self._begin_call()
        self._check_version(name, if_version)
        self._revision += 1
        self._stored[name] = (self._revision, value)
        self._end_write()
        return self._revision

    def delete(self, kind, name, if_version=None):
        """Delete an object."""
        self._begin_call()
        self._check_version(name, if_version)
        self._stored.pop(name, None)
        self._end_write()

    def _begin_call(self):
        self.calls += 1
        if self.mode == "down":
            raise PlatformUnavailableError("the object API is down")

    def _check_version(self, name, if_version):
        version = self._stored.get(name, (0, None))[0]
        if if_version is not None and version != if_version:
            raise ConflictError(f"stored version is {version}")

    def _end_write(self):
        if self.mode == "losing" and self._rng.random() < LOST_SHARE:
            raise PlatformUnknownError("the answer to the write was lost")


class ClaimStrategy:
    """Any target may run a call once it has acquired its claim at the platform."""

    def __init__(self, clock, objects):
        self._clock = clock
        self._objects = objects
        self._gates = {name: Claims(objects, clock) for name in TARGETS}

    def run(self, key, alive, rng, service):
        """Run a call at a random live target and return its answer."""
        gate = self._gates[rng.choice(alive)]
        deadline_s = self._clock.monotonic_s() + 30.0
        acquired = gate.acquire(key, key, key, deadline_s)
        if not isinstance(acquired, Claim):
            return acquired
        answer = service(key)
        gate.finish(acquired, answer)
        gate.flush(key)
        return answer

    def replace(self, name):
        """Replace the target `name` with one whose memory is empty."""
        self._gates[name] = Claims(self._objects, self._clock)


class HomeStrategy:
    """Only the home target of a key runs its call, and keeps the answer in memory.

    A new home can't distinguish a new key from one that its predecessor ran. Keys thus
    carry their creation time, and a home refuses keys created before it started.
    """

    def __init__(self, clock, objects):
        self._clock = clock
        self._started_s = dict.fromkeys(TARGETS, clock.monotonic_s())
        self._answers = {name: {} for name in TARGETS}
        self._created_at_s = {}

    def run(self, key, alive, rng, service):
        """Run a call at its home, if that is live, and return its answer."""
        created_at_s = self._created_at_s.setdefault(key, self._clock.monotonic_s())
        home = rendezvous_order(key, TARGETS)[0]
        if home not in alive:
            raise UnavailableError("the home target of the key is not available")
        if created_at_s <= self._started_s[home]:
            raise OutcomeUnknownError(
                "the key was created before its home target started"
            )
        answers = self._answers[home]
        if key not in answers:
            answers[key] = service(key)
        return answers[key]

    def replace(self, name):
        """Replace the target `name` with one whose memory is empty."""
        self._answers[name] = {}
        self._started_s[name] = self._clock.monotonic_s()


STRATEGIES = {"claims": ClaimStrategy, "home": HomeStrategy}
CASES = ("calm", "platform_losing", "platform_down", "one_target_gone", "replaced")


def measure(strategy, case):
    """Return the results of one strategy in one case."""
    rng = random.Random(case)
    clock = ManualClock()
    modes = {"platform_losing": "losing", "platform_down": "down"}
    objects = InMemoryObjects(modes.get(case, "ok"), rng)
    runner = STRATEGIES[strategy](clock, objects)
    alive = TARGETS[1:] if case == "one_target_gone" else TARGETS
    runs, results, keys = Counter(), Counter(), []

    def service(key):
        runs[key] += 1
        return {"answer": key}

    for number in range(REQUESTS):
        clock.advance(0.01)
        if case == "replaced" and number % 100 == 99:
            runner.replace(TARGETS[number // 100 % len(TARGETS)])
        repeats = keys and rng.random() < REPEATED_SHARE
        key = rng.choice(keys) if repeats else f"key {number}"
        keys.append(key)
        results[_outcome(runner, key, alive, rng, service)] += 1
    return {
        "case": case,
        "way": strategy,
        "requests": REQUESTS,
        "platform_calls_per_request": round(objects.calls / REQUESTS, 3),
        "answered_ratio": results["answered"] / REQUESTS,
        "not_run_ratio": results[Ran.NO] / REQUESTS,
        "unknown_ratio": results[Ran.UNKNOWN] / REQUESTS,
        "doubled": sum(count > 1 for count in runs.values()),
    }


def _outcome(runner, key, alive, rng, service):
    try:
        answer = runner.run(key, alive, rng, service)
    except BriarbeamError as error:
        return error.ran
    return "answered" if answer == {"answer": key} else "wrong"


def main():
    for case in CASES:
        for strategy in STRATEGIES:
            print(json.dumps(measure(strategy, case)))


if __name__ == "__main__":
    main()
