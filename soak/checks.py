"""The promises, checked from what callers and back ends saw."""

from collections import Counter

from standins.platform import CHUNK_COUNT, chunk

from .backends import seal
from .faults import PLANNED

# Statuses by which an entry promises that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
ATTEMPTS_MAX = 2
KEY_REVOCATION_S = 5.0
DRAIN_S = 2.0
# A disturbance excuses what it touched for so long after its end.
CONTACT_S = 3.0
# A staged chunk that rotted later than this before the order can't be noticed.
ROT_S = 3.0
RECOVERED_SHARE = 0.9


class Checker:
    """Compares attempts of callers with runs of back ends.

    :param site: the `SoakSite`.
    :param player: the `FaultPlayer`, for what was disturbed when.
    """

    def __init__(self, site, player, attempts):
        self._site = site
        self._records = site.records
        self._played = player.played
        self._attempts = attempts
        self._permanent_key = "main"
        self.violations = list(player.problems)

    def check_all(self, healed_s):
        """Return every broken promise as a line of text.

        :param healed_s: monotonic time from which everything should serve again.
        """
        for attempt in self._attempts:
            runs = self._records.runs.get(attempt.request_id, [])
            self._check_answer(attempt, runs)
            self._check_promise(attempt, runs)
            self._check_runs(attempt, runs)
            self._check_key(attempt, runs)
            self._check_planned_stop(attempt, runs)
        self._check_drains()
        self._check_loads()
        self._check_end(healed_s)
        self._check_logs()
        return self.violations

    def _fail(self, text, attempt=None):
        where = "" if attempt is None else f"{attempt.request_id} at {attempt.entry}: "
        self.violations.append(where + text)

    def _check_answer(self, attempt, runs):
        if attempt.status == -1:
            self._fail("bytes that are no answer", attempt)
        if attempt.status != 200 or not attempt.complete:
            return
        if attempt.body != attempt.expected():
            self._fail(f"whole answer of {len(attempt.body)} wrong bytes", attempt)
        seals = {seal(attempt.request_id, run.backend).encode() for run in runs}
        if attempt.headers.get(b"x-response-seal") not in seals:
            self._fail("answer without the proof of a back end that ran it", attempt)

    def _check_promise(self, attempt, runs):
        if attempt.status in PROMISES and runs:
            self._fail(f"{attempt.status}, but it ran at {runs[0].backend}", attempt)

    def _check_runs(self, attempt, runs):
        allowed = 1 if attempt.kind == "settle" else ATTEMPTS_MAX
        if len(runs) > allowed:
            self._fail(f"ran {len(runs)} times as {attempt.kind}", attempt)

    def _check_key(self, attempt, runs):
        if attempt.key == self._permanent_key:
            if attempt.status in (401, 403, 404):
                self._fail(f"{attempt.status} with a key that always held", attempt)
            return
        for gone in self._of("key_goes"):
            late_s = attempt.started_s - gone.started_s
            if gone.subject == attempt.key and late_s > KEY_REVOCATION_S and runs:
                self._fail(f"ran {late_s:.2f} s after its key was taken", attempt)

    def _check_planned_stop(self, attempt, runs):
        if attempt.sent_s is None or attempt.complete or attempt.left or not runs:
            return
        stops = [
            item
            for item in self._of("entry_stops")
            if item.subject == attempt.entry
            and item.overlaps(attempt.sent_s, attempt.ended_s)
        ]
        first_s = attempt.sent_s - CONTACT_S
        if (
            stops
            and not self._unplanned(first_s, attempt.ended_s)
            and attempt.body == b""
        ):
            self._fail("cut by a planned stop", attempt)

    def _check_drains(self):
        by_id = {attempt.request_id: attempt for attempt in self._attempts}
        for leave in self._of("target_leaves"):
            for runs in self._records.runs.values():
                for run in runs:
                    attempt = by_id.get(run.request_id)
                    if run.backend != leave.subject or attempt is None:
                        continue
                    late_s = run.at_s - leave.started_s - DRAIN_S
                    calm = not self._unplanned(leave.started_s - CONTACT_S, run.at_s)
                    if late_s > 0 and calm and attempt.started_s > leave.started_s:
                        self._fail(
                            f"ran {late_s:.2f} s late at a leaving target", attempt
                        )

    def _check_loads(self):
        for name, version, loaded in self._records.loads:
            wrong = [n for n in range(CHUNK_COUNT) if loaded[n] != chunk(version, n)]
            rotted = any(item.subject == f"rot/{name}" for item in self._played)
            if wrong and not (rotted and all(loaded[n] == b"rotten" for n in wrong)):
                self._fail(f"{name} loaded version {version} with wrong chunks {wrong}")

    def _check_end(self, healed_s):
        for target in self._site.targets:
            version = getattr(target.backend, "version", self._site.version)
            if version != self._site.version:
                self._fail(f"{target.name} has version {version} at the end")
        for node in self._site.nodes.values():
            if node.process.poll() is not None:
                self._fail(f"{node.name} ended by itself: {node.process.returncode}")
        last = [a for a in self._attempts if a.started_s >= healed_s and a.ended_s]
        last = [a for a in last if a.key == self._permanent_key and not a.left]
        served = sum(a.status == 200 and a.complete for a in last)
        if not last or served < RECOVERED_SHARE * len(last):
            statuses = Counter(a.status for a in last)
            self._fail(f"{served} of {len(last)} served after recovery: {statuses}")

    def _check_logs(self):
        for node in self._site.nodes.values():
            for line in node.log_path.read_text(errors="replace").splitlines():
                if "Traceback" in line:
                    self._fail(f"{node.name} logged an exception: {line[:300]}")

    def _of(self, name):
        return [item for item in self._played if item.name == name]

    def _unplanned(self, first_s, last_s):
        return any(
            item.name not in PLANNED and item.overlaps(first_s, last_s)
            for item in self._played
        )
