"""Forwards the streamed answer of an engine to the entry."""

import json

import gevent

from ..kernel.errors import (
    BriarbeamError,
    DeadlinePassedError,
    OutcomeUnknownError,
)

CALLER_POLL_S = 0.05
CANCEL_RETRY_S = 0.25
# The errors by which a malformed frame shows.
_FRAME_ERRORS = (ValueError, KeyError, TypeError, AttributeError, RecursionError)


class AnswerStream:
    """The frames of one answer, all of the same version and incarnation.

    The HTTP server calls `close` even if it read nothing of the stream. The slot at the
    target is released once the engine is known to have ended the request.

    :param response: the engine's response.
    :param request: the HTTP request of the entry.
    :param expected: the versions that each frame must name, by field of the frame.
    """

    def __init__(self, gate, response, envelope, ticket, request, expected):
        self._gate = gate
        self._response = response
        self._envelope = envelope
        self._ticket = ticket
        self._request = request
        self._expected = expected
        self._incarnation = None
        self._finished = False
        self._deadline_passed = False
        self._closed = False
        self._watcher = gevent.spawn(self._watch_caller)

    def __iter__(self):
        try:
            for line in self._response.lines():
                frame = json.loads(line)
                self._check_frame(frame)
                if frame.get("started"):
                    continue
                self._finished = bool(frame.get("done"))
                frame["load"] = str(self._gate.admission.load())
                yield json.dumps(frame).encode() + b"\n"
                if self._finished:
                    return
            raise OutcomeUnknownError("the stream ended without its end frame")
        except BriarbeamError as error:
            self._gate.request_probe()
            yield json.dumps(self._stream_error(error).to_dict()).encode() + b"\n"
        except _FRAME_ERRORS as error:
            unknown = OutcomeUnknownError(f"malformed frame: {error!r}")
            yield json.dumps(unknown.to_dict()).encode() + b"\n"

    def close(self):
        """End the request at the engine and release its slot."""
        if self._closed:
            return
        self._closed = True
        self._watcher.kill(block=False)
        self._response.close()
        if self._finished:
            self._gate.admission.release(self._ticket, finished=True)
        else:
            self._gate.kernel.tasks.spawn(self._cancel)

    def _check_frame(self, frame):
        """Record the incarnation of a frame; check the incarnation and the versions.

        :raises OutcomeUnknownError: if the incarnation or a version is unexpected.
        """
        incarnation = frame["incarnation"]
        if self._incarnation is None:
            self._incarnation = incarnation
            is_current = self._gate.record_incarnation(incarnation)
            self._gate.admission.record_acknowledgement(self._ticket, is_current)
        if incarnation != self._incarnation:
            self._gate.record_incarnation(incarnation)
            raise OutcomeUnknownError("the engine restarted during the answer")
        for name, version in self._expected.items():
            if frame[name] != version:
                raise OutcomeUnknownError(
                    f"{name} of a frame is not {version!r} but {frame[name]!r}"
                )

    def _stream_error(self, error):
        """Return the error with which to end the stream, caused by `error`."""
        if self._deadline_passed:
            return DeadlinePassedError("the deadline passed during the answer")
        return OutcomeUnknownError(f"the engine's stream failed: {error}")

    def _watch_caller(self):
        """Close the stream once the caller disconnects or the deadline passes."""
        while not self._request.caller_disconnected():
            if self._envelope.remaining_s() <= 0:
                self._deadline_passed = True
                break
            gevent.sleep(CALLER_POLL_S)
        self._response.close()

    def _cancel(self):
        gate = self._gate
        while not gate.backend.cancel(self._envelope.request_id):
            gate.clock.sleep(CANCEL_RETRY_S)
        gate.admission.release(self._ticket, finished=False)
