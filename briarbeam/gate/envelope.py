"""The envelope in which an entry forwards a request, and bodies encoded as JSON."""

import base64
import binascii
import hashlib
import json

from ..kernel.errors import InvalidRequestError

_ENGINE_FIELDS = (
    "request_id",
    "model",
    "adapter",
    "prompt",
    "max_tokens",
    "resume_from",
    "priority",
)


def encode_body(body):
    """Return JSON fields that represent the bytes `body` without loss."""
    try:
        return {"body": body.decode()}
    except UnicodeDecodeError:
        return {"body_base64": base64.b64encode(body).decode()}


def decode_body(fields):
    """Return the bytes in the fields made by `encode_body`.

    :raises InvalidRequestError: if the fields are malformed.
    """
    if "body_base64" not in fields:
        return fields.get("body", "").encode()
    try:
        return base64.b64decode(fields["body_base64"], validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        raise InvalidRequestError(f"body_base64 is not base64: {error}") from error


class Envelope:
    """A request as forwarded by an entry.

    :param raw: the JSON object of the request body, as a dictionary.
    :raises InvalidRequestError: if a required field is missing.
    """

    def __init__(self, raw, clock):
        self._raw = raw
        self._clock = clock
        for name in ("request_id", "deadline_unix_s"):
            if name not in raw:
                raise InvalidRequestError(f"the envelope has no {name!r}")
        self.request_id = raw["request_id"]

    def get(self, name, default=None):
        """Return the value of a field, or `default` if it is missing."""
        return self._raw.get(name, default)

    def remaining_s(self):
        """Return the seconds until the deadline, negative if it has passed."""
        return self._raw["deadline_unix_s"] - self._clock.now().timestamp()

    def body(self):
        """Return the body of the call as bytes."""
        return decode_body(self._raw)

    def engine_body(self, expected):
        """Return the body of the request to the engine.

        :param expected: the versions that the engine must have loaded, by field of a
            frame.
        """
        engine_fields = {
            name: self._raw[name] for name in _ENGINE_FIELDS if self._raw.get(name)
        }
        return {**engine_fields, "expected_versions": expected}

    def call_digest(self):
        """Return a digest that identifies the call, regardless of its attempt."""
        parts = [self._raw.get(name, "") for name in ("service", "method", "path")]
        parts.append(hashlib.sha256(self.body()).hexdigest())
        return hashlib.sha256(json.dumps(parts).encode()).hexdigest()
