"""At an entry: passes engines' loads on to its neighbours, and notices who does not."""

import math

import gevent

from .messages import encode_batches

# Adds half of itself to the age of a load; engines' loads come every 0.05 s.
BATCH_INTERVAL_S = 0.05
# Batches in which the known entries are told, as often as engines' daemons tell them.
ENTRIES_EVERY = 10
# Idle engines are told of every 0.4 s at the least; a forwarder whose batches stay
# away for longer than this is taken as gone.
SILENCE_S = 0.8
# Neighbours' daemons count a forwarder as silent for some seconds after the last word.
SILENCE_REPORTED_S = 3.0


class LoadForwarder:
    """Collects loads that are to be passed on and sends them in batches.

    :param clock: the `Clock`.
    :param neighbours: a function that returns the hosts to pass loads on to.
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
        """Pass on what came, for ever."""
        while True:
            gevent.sleep(BATCH_INTERVAL_S)
            self.flush()

    def add(self, host, load):
        """Take the `Load` of the engine at `host`, to be passed on."""
        self._last_load_s = self._clock.monotonic_s()
        if self._accepting.get(host) is not load.accepting:
            # Neighbours would go on sending to an engine that is about to load.
            self._accepting[host] = load.accepting
            gevent.spawn(self.flush)
        self._loads[host] = load
        for entry in load.entries:
            self._entries[tuple(entry)] = None

    def flush(self):
        """Send what came since the last batch."""
        if not self._loads:
            return
        loads, self._loads = self._loads, {}
        self._batch_count += 1
        entries = ()
        if self._batch_count % ENTRIES_EVERY == 0:
            entries, self._entries = tuple(self._entries), {}
        datagrams = encode_batches(loads.items(), entries)
        for host in self._neighbours():
            for data in datagrams:
                self._send(data, host)

    def note_batch(self, sender):
        """Note a batch that came from the neighbour at `sender`."""
        self._forwarder_host = sender
        self._last_batch_s = self._clock.monotonic_s()

    def find_forwarder(self):
        """Return the neighbour whose batches come, or None.

        An entry that passes loads on itself has none, so that no two depend on each
        other.
        """
        return self._forwarder_host if self._silence_s() <= SILENCE_S else None

    def find_silent_forwarder(self):
        """Return the neighbour whose batches have stopped coming, or None."""
        return (
            self._forwarder_host
            if SILENCE_S < self._silence_s() < SILENCE_REPORTED_S
            else None
        )

    def is_forwarding(self):
        """Return whether this entry passes loads on now."""
        return self._clock.monotonic_s() - self._last_load_s <= SILENCE_S

    def has_recent_forwarder(self):
        """Return whether another entry passes loads on, or did so a moment ago."""
        return self._silence_s() < SILENCE_REPORTED_S

    def _silence_s(self):
        """Return for how long no batch came; for ever if this entry forwards."""
        if self._forwarder_host is None or self.is_forwarding():
            return math.inf
        return self._clock.monotonic_s() - self._last_batch_s
