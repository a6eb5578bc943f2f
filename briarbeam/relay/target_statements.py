"""Records what targets state about themselves in the heads of their answers."""

import time


class TargetStatements:
    """Records the load, the speed, the leaving and the refusals that answers state.

    :param selector: the `TargetSelector`.
    """

    def __init__(self, selector):
        self._selector = selector

    def record(self, target, reply, started_s):
        """Record the statements of one answer.

        :param reply: its `ReplyMeta`.
        :param started_s: monotonic time at which the request was sent.
        """
        if reply.leaving:
            self._selector.record_leaving(target)
        if reply.retry_after is not None:
            self._selector.record_refusal(target, reply.retry_after)
        now_s = time.monotonic()
        if reply.running is not None:
            target.record_answer_load(reply.running, reply.waiting or 0, now_s)
        if reply.weights_version is not None:
            target.seen_version = reply.weights_version
        self._record_speed(target, reply, started_s, now_s)

    def _record_speed(self, target, reply, started_s, now_s):
        if reply.slowdown is not None:
            self._selector.record_speed(target, reply.slowdown, now_s)
            if 200 <= reply.status < 300:
                target.record_answer_time(now_s - started_s, now_s)
        elif reply.odd_slowdown is not None:
            self._selector.record_odd_speed(target, reply.odd_slowdown, now_s)
