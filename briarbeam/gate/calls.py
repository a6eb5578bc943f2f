"""Runs calls to a plain service, at most once per idempotency key."""

import gevent

from ..kernel.errors import BriarbeamError, Ran, UnavailableError
from .claims import Claim, Claims, claim_name
from .envelope import encode_body
from .retention import SWEEP_INTERVAL_S, Retention

RELEASE_WAIT_S = 0.25
FLUSH_INTERVAL_S = 1.0
FLUSH_TIMEOUT_S = 5.0


class Calls:
    """Runs the calls received by one gate.

    :param gate: the `GatePlugin`.
    :param objects: the platform's `ObjectApi`.
    """

    def __init__(self, gate, objects):
        self._gate = gate
        self._claims = Claims(objects, gate.clock)
        self._retention = Retention(
            objects,
            gate.clock,
            gate.settings.target.claim_retention_s,
            self._service_target_names,
            gate.settings.instance.name,
        )

    def start(self):
        """Start the background tasks that write pending records and delete old ones."""
        self._gate.kernel.tasks.repeat(
            self._claims.flush, FLUSH_INTERVAL_S, self._gate.clock
        )

        if self._gate.settings.target.backend == "service":
            self._gate.kernel.tasks.repeat(
                self._retention.sweep, SWEEP_INTERVAL_S, self._gate.clock
            )

    def drain(self):
        """Write pending records until none is left or `FLUSH_TIMEOUT_S` has passed."""
        clock = self._gate.clock
        until_s = clock.monotonic_s() + FLUSH_TIMEOUT_S
        while self._claims.flush() and clock.monotonic_s() < until_s:
            clock.sleep(RELEASE_WAIT_S)

    def run(self, envelope, ticket):
        """Run the call, or return the answer of an earlier run with the same key.

        The key of a call that is idempotent by its method is not used.
        """
        key = envelope.get("idempotency_key")
        if not key or self._is_idempotent(envelope):
            return self._send(envelope, ticket)
        name = claim_name(envelope.get("service"), envelope.get("team"), key)
        claim = self._claims.acquire(
            name, envelope.request_id, envelope.call_digest(), ticket.deadline_s
        )
        if not isinstance(claim, Claim):
            return claim
        return self._run_claimed(envelope, ticket, claim)

    def _service_target_names(self):
        """Return the names of the targets of this service."""
        settings = self._gate.settings
        members = self._gate.members.values()
        service = settings.target.service
        names = {member.name for member in members if member.service == service}
        return names | {settings.instance.name}

    def _run_claimed(self, envelope, ticket, claim):
        """Run a call whose claim was acquired, and record the outcome for the claim."""
        try:
            answer = self._send(envelope, ticket)
        except BriarbeamError as error:
            if error.ran is Ran.NO:
                self._claims.release(claim)
                gevent.spawn(self._claims.flush, claim.name).join(RELEASE_WAIT_S)
            else:
                self._claims.keep_unknown(claim)
            raise
        except BaseException:
            self._claims.keep_unknown(claim)
            raise
        self._claims.finish(claim, answer)
        self._gate.kernel.tasks.spawn(self._claims.flush, claim.name)
        return answer

    def _is_idempotent(self, envelope):
        spec = self._gate.configuration.get("service", envelope.get("service"))
        return spec is not None and envelope.get("method") in spec.idempotent_methods

    def _send(self, envelope, ticket):
        gate = self._gate
        gate.admission.wait_to_send(ticket)
        try:
            status, headers, body = gate.backend.call(
                envelope.get("method"),
                envelope.get("path"),
                envelope.body(),
                envelope.request_id,
                envelope.remaining_s(),
                gate.make_before_send(ticket),
            )
        except BriarbeamError as error:
            if error.ran is not Ran.NO:
                gate.admission.shrink()
            if error.ran is not Ran.NO or isinstance(error, UnavailableError):
                gate.request_probe()
            raise
        if "x-incarnation" in headers:
            is_current = gate.record_incarnation(headers["x-incarnation"])
            gate.admission.record_acknowledgement(ticket, is_current)
        content_type = headers.get("content-type", "")
        return {"status": status, "content_type": content_type, **encode_body(body)}
