"""Formats answers as the completion objects common to language-model APIs."""

import json

from ..kernel.errors import BackendError, BriarbeamError


class ReplyFormatter:
    """Formats one answer as JSON or as server-sent events.

    :param completion: the `Completion` that was requested.
    :param answer: the `Answer` to read.
    """

    def __init__(self, completion, answer):
        self._completion = completion
        self._answer = answer

    def complete_body(self):
        """Return the complete answer as one JSON object.

        :raises BriarbeamError: if the answer can't be completed.
        """
        tokens, end = [], None
        for frame in self._answer.frames():
            if frame is None:
                tokens = []
            elif frame.get("done"):
                end = frame
            else:
                tokens.append(frame["token"])
        if end is None or len(tokens) != end["tokens"]:
            raise BackendError("the answer is incomplete")
        return self._make_body(" ".join(tokens), end)

    def events(self):
        """Yield the answer as server-sent events, ending with ``[DONE]``.

        An answer that can't be completed ends with an error event instead.
        """
        try:
            for frame in self._answer.frames():
                if frame is None:
                    continue
                if frame.get("done"):
                    yield _encode_event(self._make_body("", frame))
                    yield b"data: [DONE]\n\n"
                    continue
                separator = " " if frame["index"] else ""
                yield _encode_event(self._make_body(separator + frame["token"]))
        except BriarbeamError as error:
            yield b"event: error\n" + _encode_event(error.to_dict())

    def _make_body(self, text, end=None):
        """Return a completion object.

        :param text: the complete text, or that of one event.
        :param end: the end frame, or None for an event before it.
        """
        chat, stream = self._completion.chat, self._completion.stream
        choice = {"index": 0, "finish_reason": "stop" if end else None}
        if not chat:
            choice["text"] = text
        elif stream:
            choice["delta"] = {"content": text}
        else:
            choice["message"] = {"role": "assistant", "content": text}
        object_type = "chat.completion" if chat else "text_completion"
        version, adapter_version = self._answer.versions
        body = {
            "id": self._answer.job.request_id,
            "object": object_type + (".chunk" if stream and chat else ""),
            "model": self._completion.model,
            "choices": [choice],
            "briarbeam": {
                "version": adapter_version or version,
                "target": self._answer.target,
            },
        }
        if end:
            body["usage"] = _make_usage(end)
        return body


class EventStream:
    """The body of a streamed reply; releases the answer when closed.

    :param formatter: the `ReplyFormatter` of the answer.
    """

    def __init__(self, formatter, answer):
        self._events = formatter.events()
        self._answer = answer

    def __iter__(self):
        return self._events

    def close(self):
        """Release the answer, even if nothing of it was read."""
        self._events.close()
        self._answer.close()


def _make_usage(end):
    usage = {"completion_tokens": end["tokens"]}
    if "prompt_tokens" in end:
        usage["prompt_tokens"] = end["prompt_tokens"]
        usage["total_tokens"] = end["prompt_tokens"] + end["tokens"]
    return usage


def _encode_event(body):
    return b"data: " + json.dumps(body).encode() + b"\n\n"
