"""Answers of an engine that state, or do not state, that a request did not run."""

import pytest

from briarbeam.gate.backends import EngineBackend
from briarbeam.kernel.errors import OutcomeUnknownError, Ran, UnavailableError
from briarbeam.kernel.network import HttpNetwork

from .test_kernel_stray_replies import Peer


def generate(status):
    head = b"HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n" % status
    peer = Peer(lambda sock, number: sock.sendall(head))
    EngineBackend(HttpNetwork(), peer.address).generate({"model": "m"})


@pytest.mark.parametrize("status", [408, 429, 503])
def test_failure_of_an_engine_does_not_state_that_nothing_ran(status):
    """Callers were told that their request had not run."""
    with pytest.raises(OutcomeUnknownError) as caught:
        generate(status)
    assert caught.value.ran is Ran.UNKNOWN
    assert str(status) in str(caught.value)


@pytest.mark.parametrize("status", [404, 409])
def test_engine_without_the_requested_version_has_not_run_the_request(status):
    with pytest.raises(UnavailableError) as caught:
        generate(status)
    assert caught.value.ran is Ran.NO
