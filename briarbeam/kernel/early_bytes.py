"""Detects what a peer did on a connection before the first request was sent."""

import socket


def find_early_fault(sock):
    """Return why no request may be sent on a connection, or None if one may.

    What a peer sends before the first request answers none. The check does not wait.

    :param sock: the connected gevent socket, on which nothing was sent yet.
    """
    try:
        # The plain socket below gevent's, which would wait.
        data = sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError as error:
        return f"broke the connection: {error!r}"
    return "answered before the request" if data else "closed the connection"
