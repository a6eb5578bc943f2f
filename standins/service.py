"""A stand-in for a plain service with an append-only log of the calls it ran."""

from .base import Faults, EventLog, lose_answer, new_router, new_parser, serve  # isort: skip

import hashlib
import uuid

import gevent

from briarbeam.kernel.http import Response

INCARNATION_HEADER = "x-incarnation"


class Service:
    """Records each call and answers it with a receipt; path ``echo`` returns the body.

    Faults: ``delay_s`` delays every call; ``lose_answers`` runs a call and closes
    the connection without an answer; ``silent`` runs a call and sends no answer for
    60 s.
    """

    def __init__(self, event_log):
        self.faults = Faults(delay_s=0.0, lose_answers=False, silent=False)
        self._event_log = event_log
        self._incarnation = uuid.uuid4().hex

    def router(self):
        """Return a router with the HTTP interface of this stand-in."""
        router = new_router(self.faults)
        router.add("GET", "/status", self.status)
        router.add("GET", "/truth", self._event_log.show)
        router.add("GET", "/call/{path...}", self.call)
        router.add("POST", "/call/{path...}", self.call)
        return router

    def status(self, request):
        return Response.of_json({"incarnation": self._incarnation})

    def call(self, request, path):
        gevent.sleep(self.faults.delay_s)
        request_id = request.headers.get("x-request-id", "")
        body = request.body.decode("utf-8", "backslashreplace")
        self._event_log.add(
            event="ran",
            method=request.method,
            path=path,
            request_id=request_id,
            body=body,
        )
        if self.faults.silent:
            gevent.sleep(60)
        if self.faults.lose_answers:
            lose_answer(request)
        receipt = hashlib.sha256(f"{path}/{body}".encode()).hexdigest()
        answer = {"receipt": receipt, "request_id": request_id}
        response = Response.of_json(answer)
        if path == "echo":
            response.body = request.body
        response.headers[INCARNATION_HEADER] = self._incarnation
        return response


def main():
    arguments = new_parser(__doc__)
    arguments.add_argument("--truth", default=None)
    options = arguments.parse_args()
    serve(options.listen, Service(EventLog(options.truth)).router())


if __name__ == "__main__":
    main()
