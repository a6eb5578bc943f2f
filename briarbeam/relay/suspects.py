"""What a crash of an engine may be held against: parts of prompts, and requests.

A suspect is a string: the id of a part, or that of a request behind a sign that ids of
parts don't contain.
"""

_REQUEST_SIGN = "="
# How many suspects a log line or an error names. A prompt may have thousands of parts.
NAMED_MAX = 16


def request_suspect(content_id):
    """Return the suspect that stands for all repetitions of one request."""
    return _REQUEST_SIGN + content_id


def name_some(suspects):
    """Return the first `NAMED_MAX` suspects, and a text that counts the others."""
    named = suspects[:NAMED_MAX]
    left_out = len(suspects) - len(named)
    return (*named, f"and {left_out} more") if left_out else named


def is_request(suspect):
    """Return whether `suspect` stands for a request, not for a part of prompts."""
    return suspect.startswith(_REQUEST_SIGN)
