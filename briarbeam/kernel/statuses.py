"""Which numbers are statuses of HTTP answers."""


def is_valid_status(status):
    """Return whether `status` belongs to one of the five classes of RFC 9110, 15.

    The parsers accept any three digits, and take those below 200 for an interim answer.
    """
    return 100 <= status <= 599
