"""The progress of one request through the entry."""

import functools
import hashlib
import time
from dataclasses import dataclass, field

from ..catalog import RequestKind
from ..platform import headers as wire
from .suspects import request_suspect
from .target_selector import Requirements

CONTENT_ID_DIGITS = 15


@dataclass
class Job:
    """One request of a caller, with the progress of its processing.

    :param request: the `CallerRequest`.
    :param meta: its decoded headers.
    :param route: the `Route` that it matches.
    :param team: the `Team` of its key, or None if it needs no key.
    :param requirements: the `Requirements` on its target.
    :param started_s: monotonic time at which the request was read completely.
    :param deadline_s: monotonic time by which it has to be answered.
    :param state_version: the version of the desired state that it was last checked
        against.
    :param caller: the `DisconnectWatch` on its connection.
    :param tried: ids of the targets that refused to run it or failed.
    :param unreachable: ids of the targets that no connection could be opened to.
    :param unsent_attempts: the number of attempts that ended before the request was
        sent.
    :param sends: the number of times that it was sent.
    :param refusals: the number of sends after which the target stated that it did not
        run the request.
    :param attempts: for each attempt that has ended, the id of its target, how it ended
        and how long it took in seconds.
    :param answer_end: the `AnswerEnd` of the last attempt that was answered, or None.
    :param not_sent_cause: why it was last not sent again, or None.
    :param ended_engine: whether an engine ended under it, without surviving it.
    :param is_trial: whether it is sent although one of its suspects is quarantined.
    :param next_target: the target for the next attempt if it is chosen already, or
        None.
    :param predicted_s: the time to the first event that was predicted when its last place
        was granted, in seconds, or None.
    :param place_wait_s: the time until a place was expected when all engines that were
        asked refused it, in seconds, or None.
    :param honoured_wait_s: the longest Retry-After that its caller honours if it was
        refused a place under load control, in seconds, or None.
    :param grants_silent: the number of daemons beside engines that gave no answer when
        its last place was looked for; it is then placed by reported loads.
    :param first_event_s: the time from `started_s` to the first event of its answer, in
        seconds, or None.
    :param target_id: the target that it was last sent to, or None.
    :param target_domain: the failure domain of that target, or None.
    :param state_age_s: the age of the desired state at the last send, in seconds.
    :param target_version: the presumed version of the target's weights at the last
        send.
    :param superseded_left_s: for how many seconds after the last send requests could
        still begin on that version; None if it was not superseded.
    """

    request: object
    meta: wire.RequestMeta
    route: object
    team: object
    requirements: Requirements
    priority: int
    started_s: float
    deadline_s: float
    state_version: int
    caller: object = None
    tried: list = field(default_factory=list)
    unreachable: list = field(default_factory=list)
    unsent_attempts: int = 0
    sends: int = 0
    refusals: int = 0
    attempts: list = field(default_factory=list)
    answer_end: object = None
    not_sent_cause: str | None = None
    ended_engine: bool = False
    is_trial: bool = False
    next_target: object = None
    predicted_s: float | None = None
    place_wait_s: float | None = None
    honoured_wait_s: float | None = None
    grants_silent: int = 0
    first_event_s: float | None = None
    target_id: str | None = None
    target_domain: str | None = None
    state_age_s: float | None = None
    target_version: int | None = None
    superseded_left_s: float | None = None

    @functools.cached_property
    def suspects(self):
        """What crashes under it are held against."""
        return *self.meta.prompt_parts, request_suspect(self.content_id)

    @functools.cached_property
    def content_id(self):
        """What repetitions of the request share: method, path, caller and body."""
        team = self.team.name if self.team is not None else ""
        head = (self.meta.host, self.request.target.decode("latin-1"), team)
        digest = hashlib.blake2b(self.request.body, digest_size=16)
        digest.update(repr((self.request.method, *head)).encode())
        return digest.hexdigest()[:CONTENT_ID_DIGITS]

    @property
    def may_have_run(self):
        """Whether it was sent to a target that did not state that it did not run it."""
        return self.sends > self.refusals

    def record_first_event(self):
        """Record the time to the first event of the answer, for the log."""
        if self.first_event_s is None:
            self.first_event_s = time.monotonic() - self.started_s

    def record_attempt(self, target, outcome, started_s):
        """Record an attempt that has ended, for the log.

        :param started_s: monotonic time at which it began.
        """
        elapsed_s = round(time.monotonic() - started_s, 3)
        self.attempts.append((target.id, outcome, elapsed_s))

    @property
    def streams(self):
        return self.route.kind is RequestKind.STREAMING
