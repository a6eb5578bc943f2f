"""Authorization of operators.

Operators are resources themselves, with the digests of their tokens and a period of
validity. The tokens in the settings of an entry daemon are accepted only while no
operator is declared.
"""

import hashlib
import hmac

from ..kernel.errors import UnauthorizedError


def authorize(request, configuration, bootstrap_tokens, now):
    """Return the name of the operator whose bearer token `request` carries.

    :param bootstrap_tokens: token digests by operator, from the settings.
    :raises UnauthorizedError: if the token is missing, belongs to no operator, or its
        operator is not valid at `now`.
    """
    kind, _, token = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(token.encode()).hexdigest()
    if kind.lower() != "bearer" or not token:
        raise UnauthorizedError("an operator's bearer token is required")
    operators = configuration.of_kind("operator")
    for name, resource in sorted(operators.items()):
        if resource.spec.valid_at(now) and _contains(
            resource.spec.token_digests, digest
        ):
            return name
    for name, known in sorted(bootstrap_tokens.items()):
        if not operators and hmac.compare_digest(known, digest):
            return name
    raise UnauthorizedError("the token does not belong to a currently valid operator")


def _contains(digests, digest):
    return any(hmac.compare_digest(known, digest) for known in digests)
