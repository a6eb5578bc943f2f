"""The listeners of an entry, for callers and for readiness checks."""

import math
import time

import gevent
import structlog
from gevent import socket
from gevent.server import StreamServer
from prometheus_client import Counter, Gauge

from ..kernel.connections import OpenConnections, callers_max
from ..kernel.errors import BriarbeamError
from ..kernel.network import reset_on_close
from ..kernel.tasks import ReadYielder
from ..platform import headers as wire
from .admission import RETRY_AFTER_S
from .answer_writer import AnswerWriter
from .callers import READ_BLOCK_BYTES, RequestReader
from .connections import PlainServer
from .errors import (
    CallerDisconnectedError,
    GraceEndedError,
    MalformedRequestError,
    NoMemoryError,
    StoppingError,
    TooManyConnectionsError,
)

# How long new connections may still arrive after readiness has ended. The load balancer
# checks it once a second, and sends no more connections after two failed checks.
BALANCER_NOTICE_S = 2.6
# Requests that are read later than this after the stop signal are refused. Earlier ones
# have the rest of the grace period to finish.
ACCEPT_AFTER_STOP_S = 2.8
# Part of the grace period that is reserved for the process to exit by itself.
EXIT_MARGIN_S = 0.6
# How long the last answers may take to be written, out of `EXIT_MARGIN_S`.
END_ANSWERS_S = 0.3
LISTEN_BACKLOG = 1024
# How long the rest of what a caller sends is read before its connection is closed.
LINGER_S = 1.0
READINESS_IDLE_TIMEOUT_S = 30.0

_CONNECTIONS = Gauge("briarbeam_caller_connections", "Open connections of callers")
_FAILED_CONNECTIONS = Counter(
    "briarbeam_caller_connections_failed",
    "Connections of callers that an unexpected error ended",
)
_log = structlog.get_logger()


class CallerServer:
    """Serves the connections of callers, each in its own task.

    :param address: the `Address` to listen on.
    :param dispatcher: the `Dispatcher` that answers requests.
    :param limits: a function that returns the `CallerLimits` in force.
    :param held_requests: the `MemoryBudget` of requests.
    :param find_team: a function of the headers of a request that returns the name of
        its team, or None.
    :param input_limits: the `CallerInputSettings`.
    """

    def __init__(
        self,
        address,
        dispatcher,
        limits,
        held_requests,
        find_team,
        input_limits,
    ):
        self._dispatcher = dispatcher
        self._limits = limits
        self._held_requests = held_requests
        self._find_team = find_team
        self._input_limits = input_limits
        self._connections = OpenConnections(
            "callers", callers_max(input_limits.max_connections)
        )
        self._answering = set()
        self._closing = False
        self._refuse_after_s = math.inf
        self._server = StreamServer(tuple(address), self._serve, backlog=LISTEN_BACKLOG)
        # What is accepted is counted only once its task runs.
        self._server.max_accept = 1

    def start(self):
        """Start listening."""
        self._server.start()

    def close_gracefully(self, grace_s):
        """Stop serving after the requests that were read are answered.

        New requests are still served for `ACCEPT_AFTER_STOP_S`, but not in the second half
        of the grace period. Requests that are not answered `EXIT_MARGIN_S` before its
        end fail.

        :param grace_s: seconds until the process will be killed.
        """
        started_s = time.monotonic()
        self._closing = True
        usable_s = grace_s - EXIT_MARGIN_S
        self._refuse_after_s = started_s + min(ACCEPT_AFTER_STOP_S, usable_s / 2)
        gevent.sleep(min(BALANCER_NOTICE_S, usable_s / 2))
        deadline_s = started_s + usable_s
        while time.monotonic() < deadline_s:
            for sock in self._connections.waiting:
                sock.close()
            if not self._connections and time.monotonic() > self._refuse_after_s:
                break
            gevent.sleep(0.05)
        cut_count = len(self._answering)
        self._end_answers()
        self._server.stop(timeout=0)
        _log.info("callers_closed", cut=cut_count)

    def _end_answers(self):
        """Let requests that are not answered yet fail, so that their callers know."""
        for task in list(self._answering):
            error = GraceEndedError("entry ends before the answer")
            gevent.kill(task, error)
        until_s = time.monotonic() + END_ANSWERS_S
        while self._answering and time.monotonic() < until_s:
            gevent.sleep(0.01)

    def _serve(self, sock, _):
        if not self._connections.admit(sock):
            self._refuse_connection(sock)
            return
        _CONNECTIONS.set(len(self._connections))
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve_requests(sock)
        except CallerDisconnectedError:
            pass
        except OSError as error:
            _FAILED_CONNECTIONS.inc()
            _log.warning("connection_failed", error=repr(error))
        except BriarbeamError:
            # The answer was partly sent and can't be completed. The caller learns of it
            # by a reset of the connection.
            reset_on_close(sock)
        except Exception:
            _FAILED_CONNECTIONS.inc()
            _log.exception("connection_failed")
        finally:
            self._connections.remove(sock)
            _CONNECTIONS.set(len(self._connections))
            sock.close()

    def _refuse_connection(self, sock):
        """Refuse a connection at once: waiting for its request would hold a descriptor."""
        error = TooManyConnectionsError(
            f"{len(self._connections)} connections are in use, "
            f"the limit is {self._connections.limit}"
        )
        self._dispatcher.log_malformed(error)
        try:
            sock.settimeout(0)
            sock.send(_refusal(error))
        except OSError:
            pass
        finally:
            sock.close()

    def _serve_requests(self, sock):
        reader = RequestReader(
            sock,
            self._limits,
            self._held_requests,
            self._find_team,
            self._input_limits,
        )
        try:
            self._serve_from(sock, reader)
        finally:
            reader.close()

    def _serve_from(self, sock, reader):
        while True:
            try:
                request = self._read(sock, reader)
            except (MalformedRequestError, NoMemoryError) as error:
                self._dispatcher.log_malformed(error)
                reader.close()
                with self._connections.wait(sock):
                    _refuse_unread(sock, error)
                return
            if request is None:
                return
            writer = AnswerWriter(sock, request, lambda: self._closing)
            if wire.READY_PATH.decode() == request.path:
                writer.write(404, [], b"")
                continue
            if time.monotonic() > self._refuse_after_s:
                self._dispatcher.refuse(
                    request, writer, StoppingError("entry is shutting down")
                )
            else:
                task = gevent.getcurrent()
                self._answering.add(task)
                try:
                    self._dispatcher.answer(request, writer, sock, reader)
                finally:
                    self._answering.discard(task)
                    request.release()
            if not writer.keep_alive:
                if writer.ends_with_connection:
                    with self._connections.wait(sock):
                        _close_in_order(sock)
                return

    def _read(self, sock, reader):
        if reader.has_request:
            # It is answered even if the connections are being closed.
            return reader.read(self._limits().idle_timeout_s)
        with self._connections.wait(sock):
            return reader.read(self._limits().idle_timeout_s)


class ReadinessServer:
    """Answers the load balancer's readiness checks.

    :param address: the `Address` to listen on.
    :param is_ready: a function that returns whether this entry accepts new connections.
    :param max_connections: as in the settings.
    """

    def __init__(self, address, is_ready, max_connections):
        self._is_ready = is_ready
        self._server = PlainServer(
            address,
            "readiness",
            self._answer,
            READINESS_IDLE_TIMEOUT_S,
            max_connections,
        )

    def start(self):
        """Start listening."""
        self._server.start()

    def stop(self):
        """Stop listening."""
        self._server.stop()

    def _answer(self, request, writer):
        is_ready_path = wire.READY_PATH.decode() == request.path
        status = 200 if is_ready_path and self._is_ready() else 503
        writer.write(status if is_ready_path else 404, [], b"")


def _refusal(error):
    """Return the answer that refuses what was not read completely."""
    lines = [b"HTTP/1.1 %d Refused" % error.status]
    lines += [b"connection: close", b"content-length: 0"]
    if error.status == 503:
        lines.append(b"retry-after: %.2f" % RETRY_AFTER_S)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _refuse_unread(sock, error):
    """Refuse a request that was not read completely."""
    try:
        sock.sendall(_refusal(error))
    except OSError:
        return
    _close_in_order(sock)


def _close_in_order(sock):
    """Tell the caller that nothing follows, and read what it still sends.

    Closing a socket with unread bytes resets the connection, so that a caller that
    still sends would not see the answer.
    """
    try:
        sock.shutdown(socket.SHUT_WR)
        read_yielder = ReadYielder()
        with gevent.Timeout(LINGER_S, False):
            while data := sock.recv(READ_BLOCK_BYTES):
                read_yielder.count_read(len(data))
    except OSError:
        return
