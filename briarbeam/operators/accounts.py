"""Who may change resources.

Operators are resources themselves, with digests of their tokens and the time for which
they hold. The tokens in an entry daemon's settings only count while no operator was
ever declared.
"""

import hashlib
import hmac

from ..kernel.errors import UnauthorizedError


def authorize(request, configuration, bootstrap_tokens, now):
    """Return the name of the operator whose token came with `request`.

    :param bootstrap_tokens: token digests by operator, from the settings.
    :raises UnauthorizedError: if the token is nobody's, or not valid at `now`.
    """
    kind, _, token = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(token.encode()).hexdigest()
    if kind.lower() != "bearer" or not token:
        raise UnauthorizedError("an operator's token is needed")
    operators = configuration.of_kind("operator")
    for name, resource in sorted(operators.items()):
        if resource.spec.valid_at(now) and _contains(
            resource.spec.token_digests, digest
        ):
            return name
    for name, known in sorted(bootstrap_tokens.items()):
        if not operators and hmac.compare_digest(known, digest):
            return name
    raise UnauthorizedError("the token belongs to no operator that is valid now")


def _contains(digests, digest):
    return any(hmac.compare_digest(known, digest) for known in digests)
