"""Tells whether the process of a target lives on after it ended an answer's connection.

The kernel closes the connections of a process that ends in order. So the end of an
answer that has neither a length nor chunks is that of the answer only if the process
that wrote it still runs afterwards, which only its answer to a later question shows.
"""

import enum
import time

import gevent
from gevent.lock import RLock
from prometheus_client import Counter

from ..platform import probes
from .errors import UpstreamBrokenError, UpstreamError
from .upstream_call import ConnectFailedError, Framing, UpstreamCall

# How long the end of an answer waits until the process has shown that it lives. Sound
# ones may be silent for a second.
CONFIRM_WITHIN_S = 1.5
# A process that is ending may accept a connection just before its listener is closed.
ASK_AGAIN_S = 0.05
# Interval between attempts to connect to a process ahead of the next question.
CONNECT_INTERVAL_S = 0.3
# Limit on what is read of the answer to a probe. A report is smaller.
PROBE_ANSWER_MAX_BYTES = 65536

_UNMARKED_ENDS = Counter(
    "briarbeam_unmarked_ends",
    "Ends of answers with neither a length nor chunks, by what the process showed",
    ["result"],
)


class ProcessState(enum.StrEnum):
    """What is known of a process.

    `UNPROVEN` means that one answers at the address that may be another one.
    """

    RUNS = "runs"
    ENDED = "ended"
    UNPROVEN = "unproven"
    UNKNOWN = "unknown"


class ProcessWatches:
    """Watches the processes of targets while they write answers that mark no end.

    :param max_read_delay_s: a function that returns how long this process may just have
        been paused, in seconds, or 0.
    """

    def __init__(self, max_read_delay_s):
        self._max_read_delay_s = max_read_delay_s
        self._watches = {}

    def observe(self, attempt, health_path):
        """Watch the process that writes the answer of an `Attempt`, if that is needed.

        To be called after each read of the answer.
        """
        if attempt.head.framing is not Framing.CONNECTION:
            return
        if attempt.process_watch is None:
            key = attempt.target.id, attempt.target.instance.address
            watch = self._watches.get(key)
            if watch is None:
                watch = self._watches[key] = _ProcessWatch(
                    attempt.target.instance,
                    health_path,
                    self._max_read_delay_s,
                    lambda: self._watches.pop(key, None),
                )
            attempt.process_watch = watch
        attempt.process_watch.observe(attempt)

    def check_end(self, attempt, deadline_s):
        """Check that the end of an answer's connection is that of the answer.

        :param deadline_s: monotonic time until which this may take.
        :raises UpstreamBrokenError: unless the answer marks its end, or its process
            has shown that it runs.
        """
        if attempt.process_watch is None:
            return
        state = attempt.process_watch.find_state(attempt, deadline_s)
        attempt.process_state = state
        _UNMARKED_ENDS.labels(state.value).inc()
        if state is not ProcessState.RUNS:
            raise UpstreamBrokenError(
                f"{attempt.target.id} closed the connection of an answer that marks no "
                f"end, and its process is known as {state.value!r}"
            )


class _ProcessWatch:
    """One process, with a connection to it that is kept for the next question.

    :param instance: the `Instance`.
    :param on_unused: called without arguments once no answer needs it.
    """

    def __init__(self, instance, health_path, max_read_delay_s, on_unused):
        self._instance = instance
        self._health_path = health_path
        self._max_read_delay_s = max_read_delay_s
        self._on_unused = on_unused
        self._attempts = set()
        self._connect_task = None
        self._connect_after_s = 0.0
        self._is_asking = False
        self._call = None
        # The answers whose connections were open at a moment at which `_call` was, too.
        # Its process wrote them.
        self._beside = set()
        # Those whose connection beside broke since: their process may have ended.
        self._suspected = set()
        self._lock = RLock()
        self._shown_at_s = None
        self._shown_for = set()

    def observe(self, attempt):
        """Note that the answer of `attempt` goes on."""
        self._attempts.add(attempt)
        if self._is_asking:
            return
        if self._call is not None and not self._call.is_quiet():
            self._suspected |= self._beside
            self._drop_call()
        if self._call is None:
            self._prepare()
        elif attempt not in self._beside:
            self._note_open(attempt)

    def forget(self, attempt):
        """Note that `attempt` has ended."""
        self._attempts.discard(attempt)
        self._beside.discard(attempt)
        self._suspected.discard(attempt)
        self._shown_for.discard(attempt)
        if self._attempts:
            return
        self._on_unused()
        if self._connect_task is not None:
            self._connect_task.kill(block=False)
        if self._call is not None and not self._is_asking:
            self._drop_call()

    def find_state(self, attempt, deadline_s):
        """Return the `ProcessState` of what wrote the answer of `attempt`, as of now.

        Several answers that have ended share a question that was sent after their ends.
        """
        asked_s = time.monotonic()
        until_s = min(deadline_s, asked_s + CONFIRM_WITHIN_S)
        is_first = True
        while True:
            with self._lock:
                if self._has_shown(attempt, asked_s):
                    return ProcessState.RUNS
                state = self._ask(attempt, until_s, is_first)
            is_first = False
            if state is not ProcessState.UNKNOWN:
                return state
            if time.monotonic() + ASK_AGAIN_S >= until_s:
                return ProcessState.UNKNOWN
            gevent.sleep(ASK_AGAIN_S)

    def _has_shown(self, attempt, asked_s):
        return (
            self._shown_at_s is not None
            and self._shown_at_s >= asked_s
            and attempt in self._shown_for
        )

    def _prepare(self):
        """Open the connection for the next question, unless that is under way.

        One that was refused is not tried again at once.
        """
        now_s = time.monotonic()
        is_connecting = (
            self._connect_task is not None and not self._connect_task.ready()
        )
        if not is_connecting and now_s >= self._connect_after_s:
            self._connect_after_s = now_s + CONNECT_INTERVAL_S
            self._connect_task = gevent.spawn(self._connect)

    def _drop_call(self):
        self._call.close()
        self._call, self._beside = None, set()

    def _connect(self):
        call = UpstreamCall(self._instance.address)
        try:
            call.connect()
        except ConnectFailedError:
            return
        self._keep(call)

    def _keep(self, call):
        self._call = call
        for attempt in self._attempts:
            self._note_open(attempt)

    def _note_open(self, attempt):
        if attempt.call.is_quiet():
            self._beside.add(attempt)
            self._suspected.discard(attempt)

    def _ask(self, attempt, until_s, is_first):
        """Return the `ProcessState` by one question, over the kept connection if any.

        :param is_first: whether it is the first one after the end of the answer.
        """
        self._is_asking = True
        try:
            return self._find_connection() or self._ask_over_it(
                attempt, until_s, is_first
            )
        finally:
            self._is_asking = False

    def _find_connection(self):
        """Open a connection unless one was kept; return a `ProcessState` if that fails."""
        if self._connect_task is not None:
            self._connect_task.join()
        if self._call is not None:
            return None
        call = UpstreamCall(self._instance.address)
        try:
            call.connect()
        except ConnectFailedError as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            return ProcessState.ENDED if is_refused else ProcessState.UNKNOWN
        self._keep(call)
        return None

    def _ask_over_it(self, attempt, until_s, is_first):
        sent_s = time.monotonic()
        call, identity = self._call, None
        try:
            identity = ask_identity(call, self._instance, self._health_path, until_s)
        finally:
            beside = set(self._beside)
            if identity is None:
                self._suspected |= beside
            if identity is None or not call.renew():
                self._drop_call()
        state = self._judge(identity, attempt, beside, is_first)
        if state is ProcessState.RUNS:
            self._shown_at_s, self._shown_for = sent_s, beside
        return state

    def _judge(self, identity, attempt, beside, is_first):
        """Return the `ProcessState` that the answer to a question shows.

        :param identity: the `ProcessIdentity`, or None without an answer.
        :param beside: the attempts whose connections were open beside this one's.
        :param is_first: whether the question was the first one after the end.
        """
        if identity is None:
            return ProcessState.UNKNOWN
        known_ms = attempt.target_started_ms
        if identity.is_other:
            return ProcessState.ENDED
        if identity.started_ms is not None and known_ms:
            same = identity.started_ms == known_ms
            return ProcessState.RUNS if same else ProcessState.ENDED
        if attempt in beside:
            return ProcessState.RUNS
        # Another process may have taken the address over, also during a pause of this
        # one. Short answers end before a connection can be opened beside them.
        is_doubtful = (
            not is_first or attempt in self._suspected or self._max_read_delay_s()
        )
        return ProcessState.UNPROVEN if is_doubtful else ProcessState.RUNS


def ask_identity(call, instance, health_path, until_s):
    """Return the `ProcessIdentity` of what answers over `call`, or None without answer.

    :param call: a connected `UpstreamCall` whose last question, if any, was answered.
    :param until_s: monotonic time until which to wait.
    """
    body = b""
    try:
        # An answer that is there before the question proves nothing.
        call.check_unanswered()
        call.send(probes.encode_probe(instance, health_path), b"")
        while not call.is_complete and len(body) <= PROBE_ANSWER_MAX_BYTES:
            call.receive(until_s)
            body += call.take_part()
    except (ConnectFailedError, UpstreamError):
        if call.head is None:
            return None
    head = call.head
    return probes.decode_probe_answer(instance, head.status, head.headers, body)
