"""Records which suspects were at engines when they ended.

A suspect is a part of prompts, or a request with all its repetitions. It is suspected if
engines ended that had not survived requests with it. An engine that survives a request
shows that all its suspects are sound, and excuses earlier crashes; the first event of an
answer shows nothing, because an engine may end right after it. All entries share their
records; merging them is a union, so order and repetition of the messages don't matter.
"""

import collections
import heapq
import math
from dataclasses import dataclass, field, replace

from prometheus_client import Counter

from .suspects import is_request, request_suspect

# How long before a crash the survival of an engine still excuses it.
SURVIVAL_EXCUSES_S = 2.0
# Crashes within this time count as one, such as the stop of many engines.
MOMENT_S = 0.05
# How long a crash is remembered, unless requests with the suspect are quarantined longer.
CRASH_EXPIRY_S = 600.0
SUSPECTS_MAX = 4096
# How many suspects are forgotten when there are too many.
FORGOTTEN_AT_ONCE = 512
CRASHES_PER_SUSPECT_MAX = 16
REQUESTS_PER_CRASH_MAX = 4
RUNS_MAX = 128
# Number of suspects of which the last survival is remembered.
SURVIVED_SUSPECTS_MAX = 32768

_FORGOTTEN = Counter(
    "briarbeam_suspects_forgotten",
    "Suspects of crashes that were forgotten because there were too many",
)


@dataclass(slots=True)
class Crash:
    """The end of one run of an engine under requests with a suspect.

    :param at_s: boot time.
    :param requests: the content ids of these requests, which tell repetitions of one
        request from different ones.
    :param excused: whether an engine survived a request with it shortly before or
        later.
    :param begun: whether the engine had begun to answer one of these requests.
    """

    at_s: float
    requests: set = field(default_factory=set)
    excused: bool = False
    begun: bool = False


@dataclass
class Run:
    """The end of one run of an engine.

    :param at_s: boot time.
    :param waiting: as `requests` in `Crash`, for all parts of prompts of requests that
        the engine had not begun to answer.
    :param begun: the same for those that it had begun to answer, and not survived.
    :param reported_waiting_count: the highest number that another entry reported, as
        `reported_begun_count`.
    """

    at_s: float
    waiting: set = field(default_factory=set)
    begun: set = field(default_factory=set)
    reported_waiting_count: int = 0
    reported_begun_count: int = 0

    @property
    def waiting_count(self):
        """The number of requests that the engine had not begun to answer."""
        return max(1, len(self.waiting), self.reported_waiting_count)

    @property
    def begun_count(self):
        """The number of requests that it had begun to answer, and not survived."""
        return max(len(self.begun), self.reported_begun_count)

    def count_candidates(self, crash):
        """Return how many requests may have caused a `Crash` at this run.

        If the engine had begun none of the requests with the suspect, these are held to
        end engines before the first event, and those that it had begun are left out.
        """
        return self.waiting_count + (self.begun_count if crash.begun else 0)


@dataclass(frozen=True)
class RunRow:
    """One `Run`, as entries report it to each other.

    :param name: identifies the run.
    :param age_s: the time since its end, in seconds.
    :param waiting_count: as in `Run`, like `begun_count`.
    """

    name: str
    age_s: float
    waiting_count: int
    begun_count: int = 0


@dataclass(frozen=True)
class CrashRow:
    """One `Crash`, as entries report it to each other.

    :param run: identifies the run of the engine.
    :param age_s: the time since the crash, in seconds.
    """

    suspect: str
    run: str
    age_s: float
    requests: tuple
    excused: bool
    begun: bool = False


class CrashEvidence:
    """The crashes of each suspect.

    `runs` has the `Run` objects of all crashes by their names.

    `on_news` is called with pairs of suspect and run that the other entries don't know
    yet, `on_change` without arguments after each change.

    :param clock: the `Clock`.
    """

    def __init__(self, clock):
        self._clock = clock
        self._crashes = {}
        self.runs = {}
        self._survived_s = collections.OrderedDict()
        self._change_count = 0
        self.on_news = lambda keys: None
        self.on_change = lambda: None

    def record_crash(self, parts, request, run, at_s, begun=False):
        """Record that the `run` of an engine ended under a request it had not survived.

        :param parts: the shared parts of its prompt.
        :param request: its content id.
        :param at_s: boot time of the crash.
        :param begun: whether the engine had begun to answer the request.
        """
        suspects = *parts, request_suspect(request)
        for suspect in suspects:
            excused = self._survived_since(suspect, at_s)
            self._add(suspect, run, Crash(at_s, {request}, excused, begun))
        self._publish([(suspect, run) for suspect in suspects])

    def record_survival(self, parts, request):
        """Record that an engine has survived a request.

        :param parts: the shared parts of its prompt.
        :param request: its content id.
        """
        suspects = *parts, request_suspect(request)
        now_s = self._clock.boottime_s()
        news = []
        for suspect in suspects:
            self._survived_s[suspect] = now_s
            self._survived_s.move_to_end(suspect)
            crashes = self._crashes.get(suspect, {})
            # A request is not held responsible for a single crash, so that the others
            # need not know.
            is_news = not is_request(suspect) or len(crashes) > 1
            for run, crash in crashes.items():
                if not crash.excused:
                    crash.excused = True
                    if is_news:
                        news.append((suspect, run))
        while len(self._survived_s) > SURVIVED_SUSPECTS_MAX:
            self._survived_s.popitem(last=False)
        self._publish(news)

    def merge(self, rows, run_rows=()):
        """Add the `CrashRow` and the `RunRow` objects that another entry reported.

        :returns: two lists of pairs of suspect and run, of the crashes that a survival here
            excuses, and of those that were known to be excused.
        """
        now_s = self._clock.boottime_s()
        changes = self._change_count
        for row in run_rows:
            run = self._add_run(row.name, now_s - row.age_s)
            known = run.reported_waiting_count, run.reported_begun_count
            run.reported_waiting_count = max(known[0], row.waiting_count)
            run.reported_begun_count = max(known[1], row.begun_count)
            if known != (run.reported_waiting_count, run.reported_begun_count):
                self._change_count += 1
        newly_excused, known_excused = [], []
        for row in rows:
            at_s = now_s - row.age_s
            if row.age_s > CRASH_EXPIRY_S and row.suspect not in self._crashes:
                continue
            crash = Crash(at_s, set(row.requests), row.excused, row.begun)
            crash = self._add(row.suspect, row.run, crash)
            if crash is None or row.excused:
                continue
            if crash.excused:
                known_excused.append((row.suspect, row.run))
            elif self._survived_since(row.suspect, crash.at_s):
                crash.excused = True
                newly_excused.append((row.suspect, row.run))
                self._change_count += 1
        if self._change_count != changes:
            self.on_change()
        return newly_excused, known_excused

    def expire(self, keep=frozenset()):
        """Forget old crashes.

        :param keep: suspects whose crashes are kept.
        """
        oldest_s = self._clock.boottime_s() - CRASH_EXPIRY_S
        kept_runs = {run for suspect in keep for run in self._crashes.get(suspect, ())}
        for name in self.runs.keys() - kept_runs:
            if self.runs[name].at_s < oldest_s:
                del self.runs[name]
        for suspect in self._crashes.keys() - keep:
            crashes = self._crashes[suspect]
            for run in [run for run, c in crashes.items() if c.at_s < oldest_s]:
                del crashes[run]
            if not crashes:
                del self._crashes[suspect]

    def unexcused(self, crashes_min=1):
        """Return the crashes that are not excused, by run, of each suspect.

        :param crashes_min: suspects with fewer of them are left out.
        """
        return {
            suspect: found
            for suspect, crashes in self._crashes.items()
            if len(crashes) >= crashes_min
            and len(found := self._unexcused_of(suspect)) >= crashes_min
        }

    def is_suspected(self, suspect, moments):
        """Return whether there were unexcused crashes at `moments` or more."""
        crashes = self._unexcused_of(suspect)
        return count_moments(crash.at_s for crash in crashes.values()) >= moments

    def rows(self, keys):
        """Return the `CrashRow` objects of pairs of suspect and run that are known."""
        now_s = self._clock.boottime_s()
        return [
            CrashRow(
                suspect, run, max(0.0, now_s - crash.at_s), tuple(crash.requests),
                crash.excused, crash.begun,
            )
            for suspect, run in keys
            if (crash := self._crashes.get(suspect, {}).get(run)) is not None
        ]  # fmt: skip

    def run_rows(self, names):
        """Return the `RunRow` objects of the runs with the given names."""
        now_s = self._clock.boottime_s()
        return [
            RunRow(name, max(0.0, now_s - run.at_s), run.waiting_count, run.begun_count)
            for name in names
            if (run := self.runs.get(name)) is not None
        ]

    def last_runs(self):
        """Return the names of all runs, those that ended last first."""
        return sorted(self.runs, key=lambda name: -self.runs[name].at_s)

    def main_keys(self):
        """Return pairs of suspect and run of unexcused crashes, most suspected first."""
        unexcused = self.unexcused()
        suspects = sorted(unexcused, key=lambda name: -len(unexcused[name]))
        return [(suspect, run) for suspect in suspects for run in unexcused[suspect]]

    def _unexcused_of(self, suspect):
        crashes = self._crashes.get(suspect, {})
        return {run: crash for run, crash in crashes.items() if not crash.excused}

    def _survived_since(self, suspect, at_s):
        """Return whether an engine survived it, as seen here, since shortly before."""
        return self._survived_s.get(suspect, -math.inf) >= at_s - SURVIVAL_EXCUSES_S

    def _add(self, suspect, run, crash):
        """Unite `crash` with the known one; return it, or None if it is dropped."""
        run_end = self._add_run(run, crash.at_s)
        if not is_request(suspect):
            (run_end.begun if crash.begun else run_end.waiting).update(crash.requests)
        crashes = self._crashes.setdefault(suspect, {})
        known = crashes.get(run, Crash(math.inf))
        requests = sorted(known.requests | crash.requests)[:REQUESTS_PER_CRASH_MAX]
        united = Crash(
            min(known.at_s, crash.at_s),
            set(requests),
            known.excused or crash.excused,
            known.begun or crash.begun,
        )
        # The ages in repeated reports differ by how long these were on their way.
        is_known = known.at_s <= united.at_s + MOMENT_S
        if not is_known or known != replace(united, at_s=known.at_s):
            self._change_count += 1
        crashes[run] = united
        if len(crashes) > CRASHES_PER_SUSPECT_MAX:
            del crashes[min(crashes, key=lambda name: (crashes[name].at_s, name))]
        if len(self._crashes) > SUSPECTS_MAX:
            for name in heapq.nsmallest(FORGOTTEN_AT_ONCE, self._crashes, self._rank):
                del self._crashes[name]
            _FORGOTTEN.inc(FORGOTTEN_AT_ONCE)
        return self._crashes.get(suspect, {}).get(run)

    def _add_run(self, name, at_s):
        run = self.runs.setdefault(name, Run(at_s))
        run.at_s = min(run.at_s, at_s)
        if len(self.runs) > RUNS_MAX:
            del self.runs[min(self.runs, key=lambda n: (self.runs[n].at_s, n))]
        return run

    def _rank(self, suspect):
        """Return a key that is lowest for the suspect to be forgotten first."""
        crashes = self._crashes[suspect].values()
        latest_s = max(crash.at_s for crash in crashes)
        return sum(not crash.excused for crash in crashes), latest_s, suspect

    def _publish(self, keys):
        if keys:
            self.on_change()
            self.on_news(keys)


def count_moments(times_s):
    """Return the number of moments in `times_s`, each `MOMENT_S` long."""
    count, started_s = 0, -math.inf
    for at_s in sorted(times_s):
        if at_s - started_s > MOMENT_S:
            count, started_s = count + 1, at_s
    return count
