"""What a crash of an engine may be held against: parts of prompts, and requests.

A suspect is a string: the id of a part, or that of a request behind a sign that ids of
parts don't contain.
"""

_REQUEST_SIGN = "="


def request_suspect(content_id):
    """Return the suspect that stands for all repetitions of one request."""
    return _REQUEST_SIGN + content_id


def is_request(suspect):
    """Return whether `suspect` stands for a request, not for a part of prompts."""
    return suspect.startswith(_REQUEST_SIGN)
