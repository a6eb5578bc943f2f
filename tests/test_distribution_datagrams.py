"""Datagrams that can't be sent."""

from structlog.testing import capture_logs

from briarbeam.distribution.datagram_sender import DatagramSender


class BrokenSocket:
    """Fails to send while `down`."""

    def __init__(self):
        self.down = True
        self.sent = []

    def sendto(self, data, address):
        if self.down:
            raise OSError(101, "Network is unreachable")
        self.sent.append((data, address))


def test_network_outage_logs_one_line_instead_of_one_per_datagram():
    sock = BrokenSocket()
    sender = DatagramSender(sock, 77)
    with capture_logs() as lines:
        for _ in range(50):
            sender.send(b"x", "10.0.0.1")
        sock.down = False
        sender.send(b"y", "10.0.0.1")
    assert [line["event"] for line in lines] == [
        "datagrams_unsent",
        "datagrams_sent_again",
    ]
    assert sock.sent == [(b"y", ("10.0.0.1", 77))]
