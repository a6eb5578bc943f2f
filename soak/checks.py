"""Checks of the system's guarantees against what callers and back ends recorded."""

from collections import Counter, defaultdict

from standins.platform import CHUNK_COUNT, chunk

from .backends import seal
from .faults import PLANNED_FAULTS

# Statuses by which an entry guarantees that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
ATTEMPTS_MAX = 2
KEY_REVOCATION_S = 5.0
DRAIN_S = 2.0
# From this long after a refusal with Retry-After to its end, a target may get this many
# requests of one entry.
REFUSAL_GRACE_S = 0.5
ARRIVALS_IN_WAIT_MAX = 2
# An unplanned fault may still affect requests for this long after its end, so the
# checks of planned work ignore requests in that time.
FAULT_EFFECT_S = 3.0
# Corruption of a staged chunk less than this long before the order can't be detected.
ROT_S = 3.0
RECOVERED_SHARE = 0.9


class Checker:
    """Compares the attempts of callers with the runs of back ends.

    :param site: the `SoakSite`.
    :param injector: the `FaultInjector`, which records the faults and their times.
    """

    def __init__(self, site, injector, attempts):
        self._site = site
        self._records = site.records
        self._injected = injector.injected
        self._attempts = attempts
        self._permanent_key = "main"
        self.violations = list(injector.errors)

    def check_all(self, recovered_s):
        """Run all checks and return the violations, each as a line of text.

        :param recovered_s: monotonic time from which requests have to be served again.
        """
        for attempt in self._attempts:
            runs = self._records.runs.get(attempt.request_id, [])
            self._check_answer(attempt, runs)
            self._check_not_run(attempt, runs)
            self._check_runs(attempt, runs)
            self._check_key(attempt, runs)
            self._check_planned_stop(attempt, runs)
        self._check_drains()
        self._check_leaving_in_answers()
        self._check_waits()
        self._check_loads()
        self._check_recovery(recovered_s)
        self._check_logs()
        return self.violations

    def _report(self, text, attempt=None):
        where = "" if attempt is None else f"{attempt.request_id} at {attempt.entry}: "
        self.violations.append(where + text)

    def _check_answer(self, attempt, runs):
        if attempt.status == -1:
            self._report("received bytes that are not a valid HTTP answer", attempt)
        if attempt.status != 200:
            return
        if not attempt.expected_body().startswith(attempt.body):
            self._report("received bytes that belong to no answer to it", attempt)
        if not attempt.complete:
            return
        if attempt.body != attempt.expected_body():
            self._report(
                f"complete answer with a wrong body of {len(attempt.body)} bytes",
                attempt,
            )
        seals = {seal(attempt.request_id, run.backend).encode() for run in runs}
        if attempt.headers.get(b"x-response-seal") not in seals:
            self._report(
                "answer without the seal of a back end that ran the request", attempt
            )

    def _check_not_run(self, attempt, runs):
        if attempt.status in NOT_RUN_STATUSES and runs:
            self._report(
                f"answered {attempt.status}, but the request ran at {runs[0].backend}",
                attempt,
            )

    def _check_runs(self, attempt, runs):
        allowed = 1 if attempt.kind == "settle" else ATTEMPTS_MAX
        if len(runs) > allowed:
            self._report(f"ran {len(runs)} times as {attempt.kind}", attempt)

    def _check_key(self, attempt, runs):
        if attempt.key == self._permanent_key:
            if attempt.status in (401, 403, 404):
                self._report(
                    f"answered {attempt.status} with a key that was always valid",
                    attempt,
                )
            return
        for removal in self._faults_named("key_goes"):
            late_s = attempt.started_s - removal.started_s
            if removal.subject == attempt.key and late_s > KEY_REVOCATION_S and runs:
                self._report(f"ran {late_s:.2f} s after its key was removed", attempt)

    def _check_planned_stop(self, attempt, runs):
        if (
            attempt.sent_s is None
            or attempt.complete
            or attempt.caller_closed
            or not runs
        ):
            return
        stops = [
            item
            for item in self._faults_named("entry_stops")
            if item.subject == attempt.entry
            and item.overlaps(attempt.sent_s, attempt.ended_s)
        ]
        first_s = attempt.sent_s - FAULT_EFFECT_S
        if (
            stops
            and not self._has_unplanned_fault(first_s, attempt.ended_s)
            and attempt.body == b""
        ):
            self._report("answer lost through a planned stop of the entry", attempt)

    def _check_drains(self):
        by_id = {attempt.request_id: attempt for attempt in self._attempts}
        for departure in self._faults_named("target_leaves"):
            for runs in self._records.runs.values():
                for run in runs:
                    attempt = by_id.get(run.request_id)
                    if run.backend != departure.subject or attempt is None:
                        continue
                    late_s = run.at_s - departure.started_s - DRAIN_S
                    is_undisturbed = not self._has_unplanned_fault(
                        departure.started_s - FAULT_EFFECT_S, run.at_s
                    )
                    if (
                        late_s > 0
                        and is_undisturbed
                        and attempt.started_s > departure.started_s
                    ):
                        self._report(
                            f"ran {late_s:.2f} s after the drain time of its target",
                            attempt,
                        )

    def _check_leaving_in_answers(self):
        """Check that no entry sends to a target whose leaving it has passed on."""
        passed_on_s = {}
        for attempt in self._attempts:
            if attempt.complete and b"server-leaving" in attempt.headers:
                backend = self._find_backend(attempt)
                key = attempt.entry, backend
                passed_on_s[key] = min(
                    attempt.ended_s, passed_on_s.get(key, attempt.ended_s)
                )
        for key, arrivals in self._arrivals_by_entry().items():
            for attempt, arrival in arrivals:
                since_s = passed_on_s.get(key)
                if (
                    since_s is not None
                    and attempt.started_s > since_s + DRAIN_S
                    and not self._was_stopped(attempt.entry, since_s, arrival.at_s)
                ):
                    self._report(
                        f"reached {arrival.backend} {arrival.at_s - since_s:.2f} s "
                        "after the entry had passed on that it leaves",
                        attempt,
                    )

    def _check_waits(self):
        """Check that refused entries wait as long as the target asked them to."""
        for (entry, backend), arrivals in self._arrivals_by_entry().items():
            for _, refused in arrivals:
                if refused.wait_s is None:
                    continue
                first_s = refused.at_s + REFUSAL_GRACE_S
                end_s = refused.at_s + refused.wait_s
                early = [a for _, a in arrivals if first_s < a.at_s < end_s]
                if (
                    len(early) > ARRIVALS_IN_WAIT_MAX
                    and not self._was_stopped(entry, refused.at_s, end_s)
                    and not self._was_cut_off(backend, refused.at_s, end_s)
                ):
                    self._report(
                        f"{entry} sent {len(early)} requests to {backend}, which had "
                        f"asked for a wait of {refused.wait_s:.1f} s"
                    )

    def _arrivals_by_entry(self):
        """Return pairs of attempt and `Arrival` by entry and back end."""
        by_id = {attempt.request_id: attempt for attempt in self._attempts}
        arrivals = defaultdict(list)
        for arrival in self._records.arrivals:
            attempt = by_id.get(arrival.request_id)
            if attempt is not None:
                arrivals[attempt.entry, arrival.backend].append((attempt, arrival))
        return arrivals

    def _find_backend(self, attempt):
        """Return the name of the back end whose answer the caller got, or None."""
        for run in self._records.runs.get(attempt.request_id, ()):
            answer_seal = seal(attempt.request_id, run.backend).encode()
            if attempt.headers.get(b"x-response-seal") == answer_seal:
                return run.backend
        return None

    def _was_stopped(self, entry, first_s, last_s):
        """Return whether a fault stopped or paused the process of `entry`."""
        return any(
            item.subject == entry and item.overlaps(first_s, last_s)
            for item in self._injected
        )

    def _was_cut_off(self, backend, first_s, last_s):
        return any(
            item.subject == f"target/{backend}" and item.overlaps(first_s, last_s)
            for item in self._injected
        )

    def _check_loads(self):
        for name, version, loaded in self._records.loads:
            wrong = [n for n in range(CHUNK_COUNT) if loaded[n] != chunk(version, n)]
            rotted = any(item.subject == f"rot/{name}" for item in self._injected)
            if wrong and not (rotted and all(loaded[n] == b"rotten" for n in wrong)):
                self._report(
                    f"{name} loaded version {version} with wrong chunks {wrong}"
                )

    def _check_recovery(self, recovered_s):
        for target in self._site.targets:
            version = getattr(target.backend, "version", self._site.version)
            if version != self._site.version:
                self._report(f"{target.name} has weights version {version} at the end")
        for node in self._site.nodes.values():
            if node.process.poll() is not None:
                self._report(
                    f"{node.name} exited unexpectedly: status {node.process.returncode}"
                )
        last = [a for a in self._attempts if a.started_s >= recovered_s and a.ended_s]
        last = [a for a in last if a.key == self._permanent_key and not a.caller_closed]
        served = sum(a.status == 200 and a.complete for a in last)
        if not last or served < RECOVERED_SHARE * len(last):
            statuses = Counter(a.status for a in last)
            self._report(f"{served} of {len(last)} served after recovery: {statuses}")

    def _check_logs(self):
        for node in self._site.nodes.values():
            for line in node.log_path.read_text(errors="replace").splitlines():
                if "Traceback" in line:
                    self._report(f"{node.name} logged an exception: {line[:300]}")

    def _faults_named(self, name):
        return [item for item in self._injected if item.name == name]

    def _has_unplanned_fault(self, first_s, last_s):
        return any(
            item.name not in PLANNED_FAULTS and item.overlaps(first_s, last_s)
            for item in self._injected
        )
