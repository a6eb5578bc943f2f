"""Client of the operators' API, used by the command-line tool."""

import hashlib
import json
import os
import tomllib
from pathlib import Path
from urllib.parse import quote, urlencode

from ..configuration.documents import canonical_json
from ..kernel.errors import (
    BriarbeamError,
    ConflictError,
    NetworkError,
    NotFoundError,
    PlatformError,
    SettingsError,
    UnauthorizedError,
    UnavailableError,
)
from ..kernel.network import Address, HttpNetwork, HttpRequest, fetch

SERVER_VARIABLE = "BRIARBEAM_SERVER"
TOKEN_VARIABLE = "BRIARBEAM_TOKEN"
FILE_VARIABLE = "BRIARBEAM_CONFIG"
DEFAULT_FILE = Path(".config", "briarbeam.toml")
TIMEOUT_S = 20.0

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_NOT_FOUND = 4
EXIT_UNAVAILABLE = 5
EXIT_UNAUTHORIZED = 6

_EXIT_CODES = (
    (SettingsError, EXIT_USAGE),
    (ConflictError, EXIT_CONFLICT),
    (NotFoundError, EXIT_NOT_FOUND),
    (UnauthorizedError, EXIT_UNAUTHORIZED),
    (NetworkError, EXIT_UNAVAILABLE),
    (PlatformError, EXIT_UNAVAILABLE),
    (UnavailableError, EXIT_UNAVAILABLE),
)


class ServerError(BriarbeamError):
    """An error that an entry daemon returned.

    :param status: the HTTP status of the reply.
    :param body: the error object of the reply.

    `changed` has the recorded changes that a change conflicts with.
    """

    def __init__(self, status, body):
        super().__init__(body.get("message", f"status {status}"))
        self.status = status
        self.code = body.get("code", "internal")
        self.ran = body.get("ran", "unknown")
        self.changed = body.get("changed", [])


def exit_code(error):
    """Return the exit code for an error."""
    if isinstance(error, ServerError):
        return {
            401: EXIT_UNAUTHORIZED,
            404: EXIT_NOT_FOUND,
            409: EXIT_CONFLICT,
            429: EXIT_UNAVAILABLE,
            502: EXIT_UNAVAILABLE,
            503: EXIT_UNAVAILABLE,
        }.get(error.status, EXIT_FAILED)
    for error_type, code in _EXIT_CODES:
        if isinstance(error, error_type):
            return code
    return EXIT_FAILED


class OperatorClient:
    """Calls the operators' API of an entry daemon.

    :param server: the entry daemon's `Address`.
    :param token: the token of the operator.
    :param network: the `HttpNetwork` to use; None for a new one.
    """

    def __init__(self, server, token, network=None):
        self._server = server
        self._token = token
        self._network = network or HttpNetwork()

    @classmethod
    def find(cls, server=None, token=None):
        """Return a client configured by options, environment or a file, in this order.

        The path of the file is in ``BRIARBEAM_CONFIG``, by default
        ``~/.config/briarbeam.toml``; its keys are ``server`` and ``token``.

        :raises SettingsError: if the address of the server is missing or invalid.
        """
        config = _read_file()
        server = server or os.environ.get(SERVER_VARIABLE) or config.get("server")
        token = token or os.environ.get(TOKEN_VARIABLE) or config.get("token", "")
        if not server:
            raise SettingsError(
                f"no server: give --server, {SERVER_VARIABLE} or a file with 'server'"
            )
        return cls(Address.parse(server), token)

    def list(self, kind=None):
        """Return the revision and the resources, of one kind if given."""
        return self.call("GET", "/operator/v1/resources" + _query(kind=kind))

    def get(self, kind, name):
        """Return one resource with its status."""
        path = f"/operator/v1/resources/{quote(kind)}/{quote(name, safe='@')}"
        return self.call("GET", path)

    def apply(self, resources=(), delete=(), **options):
        """Apply changes to resources, all or none.

        :param options: ``if_revision``, ``force`` and ``dry_run``.
        """
        body = {"resources": list(resources), "delete": list(delete), **options}
        return self.call("POST", "/operator/v1/apply", body)

    def watch(self, after, wait_s=10.0, kind=None):
        """Wait for a revision above `after` and return its resources.

        The items are None if there is no such revision within `wait_s`.
        """
        path = "/operator/v1/watch" + _query(after=after, wait_s=wait_s, kind=kind)
        return self.call("GET", path, timeout_s=wait_s + TIMEOUT_S)

    def changes(self):
        """Return the most recent changes, with operator and time."""
        return self.call("GET", "/operator/v1/changes")["changes"]

    def members(self):
        """Return the instances that the entry daemon knows."""
        return self.call("GET", "/operator/v1/members")["items"]

    def restore(self):
        """Write the configuration in force back to a platform that lost it."""
        return self.call("POST", "/operator/v1/restore")

    def export(self):
        """Return all resources with their digest, after checking it."""
        exported = self.call("GET", "/operator/v1/export")
        check_digest(exported)
        return exported

    def call(self, method, path, value=None, timeout_s=TIMEOUT_S):
        """Send one request and return its JSON reply.

        :param value: the JSON value of the body, or None for an empty body.
        :raises ServerError: if the daemon returned an error, or a reply that is not
            JSON.
        :raises NetworkError: if no reply was received.
        """
        body = b"" if value is None else json.dumps(value).encode()
        headers = {
            "authorization": f"Bearer {self._token}",
            "content-type": "application/json",
        }
        request = HttpRequest(method, path, body, headers, timeout_s, fresh=True)
        status, _, raw = fetch(self._network, self._server, request)
        try:
            reply = json.loads(raw)
        except ValueError as error:
            raise ServerError(
                status, {"message": f"reply is not JSON: {raw[:80]!r}"}
            ) from error
        if status != 200:
            raise ServerError(status, reply.get("error", {}))
        return reply


def check_digest(exported):
    """Check that exported resources match their digest.

    :raises SettingsError: if they don't; the message contains both digests.
    """
    body = {key: value for key, value in exported.items() if key != "digest"}
    digest = hashlib.sha256(canonical_json(body)).hexdigest()
    if digest != exported.get("digest"):
        raise SettingsError(f"digest is {digest}, expected {exported.get('digest')}")


def _query(**values):
    present = {key: value for key, value in values.items() if value is not None}
    return f"?{urlencode(present)}" if present else ""


def _read_file():
    configured = os.environ.get(FILE_VARIABLE)
    path = Path(configured) if configured else Path.home() / DEFAULT_FILE
    try:
        return tomllib.loads(path.read_text())
    except FileNotFoundError:
        if configured:
            raise SettingsError(f"{path}: no such file") from None
        return {}
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
