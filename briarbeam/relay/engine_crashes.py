"""Detects engines that end under requests that they have not survived."""

import contextlib
import hashlib
import time
from dataclasses import dataclass

import gevent
import structlog
from gevent.event import AsyncResult
from prometheus_client import Counter

from .errors import UpstreamBrokenError
from .process_watch import ASK_AGAIN_S, ask_identity
from .suspects import name_some
from .upstream_call import ConnectFailedError, UpstreamCall

# A live machine without a listener refuses a connection within one round trip, and a
# live engine answers a probe within two. Retries wait for this result.
CONFIRM_TIMEOUT_S = 0.15
# Connections to a crashed engine break together. Later breaks of the same run use the
# result of the first one for this long.
RESULT_CACHE_S = 2.0
# Delay of the log line, so that it contains all requests of this entry.
LOG_DELAY_S = 0.1

_CRASHES = Counter(
    "briarbeam_engine_crashes",
    "Broken connections under requests not yet survived, once an engine and entry",
    ["result"],
)
_log = structlog.get_logger()


@dataclass
class WatchedSend:
    """One send of a request to an engine, and what the engine has made of it.

    :param job: the `Job`, which may be sent to another engine afterwards.
    :param call: the `UpstreamCall`.
    :param begun_s: monotonic time at which the begin of this engine's answer was
        noticed, or None.
    :param survived: whether this engine has survived the request.
    """

    job: object
    call: object
    begun_s: float | None = None
    survived: bool = False

    @property
    def begun(self):
        """Whether this engine began to answer the request."""
        return self.begun_s is not None


class EngineCrashes:
    """Finds out which requests an engine had not survived when it ended.

    A broken connection alone does not show that the engine ended. It is assumed to have
    ended if a new connection is refused at once: its machine runs and nothing listens. A
    connection that an ending engine still accepts breaks without an answer.

    :param clock: the `Clock`.
    :param on_crash: called with the `WatchedSend`, a text that identifies the run of the
        engine, and the boot time of the crash for each request that it had not survived.
    """

    def __init__(self, clock, on_crash):
        self._clock = clock
        self._on_crash = on_crash
        self._checks = {}

    @contextlib.contextmanager
    def watch(self, send, target):
        """Report a crash of `target` in the body of the ``with`` statement.

        :param send: the `WatchedSend`; a crash is not searched for if its call was
            aborted.
        """
        try:
            yield
        except UpstreamBrokenError:
            if not (send.survived or send.call.aborted or _is_leaving(target)):
                self._handle_break(send, target)
            raise

    def _handle_break(self, send, target):
        run = _describe_run(target)
        health_path = send.job.requirements.service.health_path
        check = self._checks.get(run)
        if check is None:
            check = self._checks[run] = _Check(self._clock.boottime_s())
            gevent.spawn(self._confirm, check, run, target, health_path)
        check.jobs.append(send.job)
        if check.result.get():
            self._on_crash(send, run, check.at_s)

    def _confirm(self, check, run, target, health_path):
        try:
            has_ended = _has_ended(target.instance, health_path)
        except Exception as error:
            check.result.set_exception(error)
            raise
        finally:
            gevent.spawn_later(RESULT_CACHE_S, self._checks.pop, run, None)
        _CRASHES.labels("ended" if has_ended else "not_confirmed").inc()
        check.result.set(has_ended)
        if has_ended:
            gevent.spawn_later(LOG_DELAY_S, _log_crash, check, target)


class _Check:
    """The check whether a run of an engine ended.

    :param at_s: boot time of the first broken connection.
    """

    def __init__(self, at_s):
        self.at_s = at_s
        self.jobs = []
        self.result = AsyncResult()


def _is_leaving(target):
    """Return whether `target` is about to end as planned."""
    return target.instance.draining or target.leaving or target.remove_at_s is not None


def _describe_run(target):
    text = f"{target.id}|{target.started_ms}"
    return hashlib.blake2b(text.encode(), digest_size=4).hexdigest()


def _has_ended(instance, health_path):
    until_s = time.monotonic() + CONFIRM_TIMEOUT_S
    while (left_s := until_s - time.monotonic()) > 0:
        call = UpstreamCall(instance.address)
        try:
            call.connect(left_s)
            if ask_identity(call, instance, health_path, until_s) is not None:
                return False
        except ConnectFailedError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        finally:
            call.close()
        gevent.sleep(min(ASK_AGAIN_S, max(0.0, until_s - time.monotonic())))
    return False


def _log_crash(check, target):
    _log.info(
        "engine_ended_under_requests",
        instance=target.id,
        requests=[job.meta.request_id.decode("latin-1") for job in check.jobs],
        contents=[job.content_id for job in check.jobs],
        parts=[name_some(job.meta.prompt_parts) for job in check.jobs],
    )
