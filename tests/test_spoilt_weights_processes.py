"""An entry and a stager as processes, beside an engine whose staged chunks turn bad."""

import signal
import time

import gevent
import pytest

from standins.platform import CHUNK_COUNT, chunk

from .spoilt_weights_fakes import Site
from .test_node_processes import name_version, wait_until

# Longer than the 3 s for which a check of a chunk counts.
STANDSTILL_S = 4.5
SPOILT = (1, 4, 6, 9, 11)
# Requests are watched for this long after the engine took spoilt chunks.
WATCHED_S = 6.0
SERVED_WITHIN_S = 10.0


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path)
    try:
        wait_until(site.is_ready)
        wait_until(lambda: site.ask().split()[1] == "200")
        wait_until(lambda: '"event":"started"' in site.log("stager"))
        gevent.sleep(1.0)
        site.start_callers()
        yield site
    finally:
        site.stop()


def is_load_of(order, version):
    return order["version"] == version and order.get("from", 0) != order.get("to")


def spoil_during_order(site, engine_stops):
    """Stop the stager for a while when its order arrives, which is held back.

    Some staged chunks turn bad meanwhile. The stager is still stopped on return.

    :param engine_stops: whether the engine stands still with it.
    """

    def stop(order):
        if is_load_of(order, 2) and not site.engine.held_orders:
            site.processes["stager"].process.send_signal(signal.SIGSTOP)
            site.engine.silent = engine_stops
        return is_load_of(order, 2)

    site.engine.on_order = stop
    name_version(site, 2)
    wait_until(lambda: site.engine.held_orders)
    gevent.sleep(0.2)
    site.engine.spoil(SPOILT)
    gevent.sleep(STANDSTILL_S)


def accept(site):
    """Let the engine accept the order that was held back, and all later ones."""
    engine = site.engine
    engine.on_order = engine.on_list = engine.on_put = lambda *arguments: False
    engine.accept_held()


def stand_still(site, is_killed):
    """Let engine and stager stand still as the order arrives, and go on.

    :param is_killed: whether the stager is killed as they go on, and started again.
    """
    spoil_during_order(site, engine_stops=True)
    accept(site)
    assert site.engine.loads == [(2, SPOILT)]
    if is_killed:
        site.processes["stager"].kill()
        site.engine.silent = False
        gevent.sleep(0.5)
        site.start_stager()
    else:
        site.processes["stager"].process.send_signal(signal.SIGCONT)
        site.engine.silent = False


def wait_for_load(site, timeout_s):
    """Wait until the engine takes chunks, and accept what is still held back.

    A stager that touches no chunk while an order is open is right, too.
    """
    end_s = time.monotonic() + timeout_s
    while not site.engine.loads and time.monotonic() < end_s:
        gevent.sleep(0.05)
    accept(site)


def find_spoilt(site):
    """Return which of the engine's tokens were made with wrong bytes."""
    return [token for token in site.engine.tokens if token.wrong_chunks]


def test_stager_killed_after_a_standstill_leaves_no_spoilt_weights_in_use(site):
    stand_still(site, is_killed=True)
    gevent.sleep(WATCHED_S)
    assert find_spoilt(site) == []


def test_order_accepted_after_the_stager_stood_still_brings_no_spoilt_weights(site):
    spoil_during_order(site, engine_stops=False)
    site.engine.on_list = lambda: accept(site)
    site.processes["stager"].process.send_signal(signal.SIGCONT)
    wait_for_load(site, 3.0)
    gevent.sleep(WATCHED_S)
    assert find_spoilt(site) == []


def test_order_accepted_amid_the_next_version_brings_no_mixed_weights(site):
    engine, is_next_named, staged = site.engine, False, set()
    # The next order arrives during the load, and is refused.
    engine.load_s = 1.5

    def hold(order):
        nonlocal is_next_named
        if is_load_of(order, 2) and not is_next_named:
            is_next_named = True
            name_version(site, 3)
        return is_load_of(order, 2)

    def accept_when_half_is_staged(number, content):
        if content == chunk(3, number):
            staged.add(number)
        if len(staged) == CHUNK_COUNT // 2:
            accept(site)

    engine.on_order, engine.on_put = hold, accept_when_half_is_staged
    name_version(site, 2)
    wait_for_load(site, 6.0)
    gevent.sleep(WATCHED_S)
    assert find_spoilt(site) == []


@pytest.mark.parametrize("is_killed", [False, True], ids=["goes_on", "killed"])
def test_engine_that_took_spoilt_chunks_serves_again_before_the_next_version(
    site, is_killed
):
    stand_still(site, is_killed)
    went_on_s = time.monotonic()

    def is_served():
        return any(version == 2 for _, version in site.served)

    while not is_served() and time.monotonic() < went_on_s + SERVED_WITHIN_S:
        gevent.sleep(0.05)
    assert is_served(), f"no request was served in {SERVED_WITHIN_S} s"
    gevent.sleep(1.0)
    assert find_spoilt(site) == []
