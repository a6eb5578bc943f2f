"""The simulation in which the spread of desired states is measured."""

import json
import random

import gevent
import pytest

from bench.measure_state import measure, state_spec
from bench.model_links import Link, Links, ModelClock
from bench.state_model import Case, ProcessorTimes

PROCESSOR_TIMES = ProcessorTimes(read_s=0.003, pack_s=0.002, apply_s=0.003)


def test_transfers_that_share_a_link_take_as_long_as_their_bytes_together():
    clock = ModelClock()
    links, link, ended = Links(clock), Link(8.0), []

    def transmit(size_bytes):
        assert links.transmit(size_bytes, [link])
        ended.append(round(clock.monotonic_s(), 6))

    for size_bytes in (500_000, 1_500_000):
        gevent.spawn(transmit, size_bytes)
    clock.run(10.0, lambda: False)
    assert ended == [1.0, 2.0]
    assert round(link.transmitted_bytes) == 2_000_000
    assert link.full_s == pytest.approx(2.0)


def test_bytes_of_a_transfer_that_timed_out_are_counted_on_the_link():
    clock = ModelClock()
    links, link = Links(clock), Link(8.0)
    task = gevent.spawn(links.transmit, 1_000_000, [link], 0.5)
    clock.run(10.0, lambda: False)
    assert task.value is False
    assert round(link.transmitted_bytes) == 500_000


@pytest.mark.parametrize("entries", [41, 100])
def test_link_between_regions_carries_each_state_once_however_many_entries(entries):
    """Incident HOME: the link carried one copy per entry and stayed full."""
    random.seed(1)
    raw = json.dumps(state_spec(250)).encode()
    result = measure(Case("spread", entries, 250), raw, PROCESSOR_TIMES)
    assert result["in_force"] == entries
    assert result["region_link_bytes"] == len(raw)
    result_before = measure(Case("before", entries, 250), raw, PROCESSOR_TIMES)
    assert result_before["region_link_bytes"] > 10 * len(raw)
