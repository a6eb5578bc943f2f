"""Forwards engines' loads to an entry's neighbours, and detects a silent forwarder."""

import math

import gevent

from .messages import encode_batches

# Half of this is added to the mean age of a load. Stagers report every 0.1 s or less
# often.
BATCH_INTERVAL_S = 0.15
# The known entries are listed in one of this many batches, as in the stagers' reports.
ENTRIES_EVERY_N_BATCHES = 4
# A forwarder that has sent no batch for longer than this is considered silent. A
# forwarder receives each engine's load at least every 0.4 s, also if the engine is
# idle.
SILENT_AFTER_S = 0.8
# A silent forwarder is reported to stagers until this long after its last batch. They
# avoid it for some seconds after the last such report.
SILENCE_REPORTED_S = 3.0


class LoadForwarder:
    """Collects engines' loads and sends them to neighbours in batches.

    :param clock: the `Clock`.
    :param neighbours: a function that returns the hosts to send batches to.
    :param send: a function of a datagram's bytes and a host.
    """

    def __init__(self, clock, neighbours, send):
        self._clock = clock
        self._neighbours = neighbours
        self._send = send
        self._loads = {}
        self._entries = {}
        self._accepting = {}
        self._batch_count = 0
        self._forwarder_host = None
        self._last_batch_s = 0.0
        self._last_load_s = -math.inf

    def run(self):
        """Send a batch every `BATCH_INTERVAL_S`, forever."""
        while True:
            gevent.sleep(BATCH_INTERVAL_S)
            self.flush()

    def add(self, host, load):
        """Add the `Load` of the engine at `host` to the next batch."""
        self._last_load_s = self._clock.monotonic_s()
        if self._accepting.get(host) is not load.accepting:
            # Sent at once: until neighbours know, they continue to send requests to an
            # engine that is about to load weights.
            self._accepting[host] = load.accepting
            gevent.spawn(self.flush)
        self._loads[host] = load
        for entry in load.entries:
            self._entries[tuple(entry)] = None

    def flush(self):
        """Send the loads that were added since the last batch."""
        if not self._loads:
            return
        loads, self._loads = self._loads, {}
        self._batch_count += 1
        entries = ()
        if self._batch_count % ENTRIES_EVERY_N_BATCHES == 0:
            entries, self._entries = tuple(self._entries), {}
        datagrams = encode_batches(loads.items(), entries)
        for host in self._neighbours():
            for data in datagrams:
                self._send(data, host)

    def record_batch(self, sender):
        """Record that the neighbour at `sender` sent a batch."""
        self._forwarder_host = sender
        self._last_batch_s = self._clock.monotonic_s()

    def find_forwarder(self):
        """Return the host of the neighbour that forwards loads to this entry, or None.

        An entry that forwards loads itself has none, so that no two entries depend on
        each other.
        """
        return self._forwarder_host if self._silence_s() <= SILENT_AFTER_S else None

    def find_silent_forwarder(self):
        """Return the host of a neighbour that recently became silent, or None."""
        return (
            self._forwarder_host
            if SILENT_AFTER_S < self._silence_s() < SILENCE_REPORTED_S
            else None
        )

    def is_forwarding(self):
        """Return whether this entry has recently received loads to forward."""
        return self._clock.monotonic_s() - self._last_load_s <= SILENT_AFTER_S

    def has_recent_forwarder(self):
        """Return whether a neighbour forwarded loads within `SILENCE_REPORTED_S`."""
        return self._silence_s() < SILENCE_REPORTED_S

    def _silence_s(self):
        """Return the seconds since the last batch; infinite if this entry forwards."""
        if self._forwarder_host is None or self.is_forwarding():
            return math.inf
        return self._clock.monotonic_s() - self._last_batch_s
