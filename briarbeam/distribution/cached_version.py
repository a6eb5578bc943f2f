"""The chunks of one version of weights that an entry caches."""

import time

from gevent.event import Event


class CachedVersion:
    """The chunks of a version that an entry holds, and those that it must download."""

    def __init__(self, model, version):
        self.model = model
        self.version = version
        self.digests = None
        self.manifest_ready = Event()
        self.chunks = {}
        self.task = None
        self.was_requested = False
        self.last_progress_s = time.monotonic()
        self._wanted = set()
        self._claimed = set()
        self._deferred_until_s = {}
        self._wanted_changed = Event()
        self._arrival_events = {}

    @property
    def manifest(self):
        """The best known `Manifest`, or None."""
        return self.digests.manifest if self.digests is not None else None

    def stalled_s(self):
        """Return the seconds since the last progress.

        That is the arrival of a chunk, the first request for one when none was missing,
        or the decision to avoid a source.
        """
        return time.monotonic() - self.last_progress_s

    def add_wanted(self, numbers):
        """Add chunks to those that have to be downloaded."""
        new_numbers = set(numbers) - self._wanted
        if not new_numbers:
            return
        if not self.missing():
            self.last_progress_s = time.monotonic()
        self._wanted |= new_numbers
        self._wanted_changed.set()

    def missing(self):
        """Return the numbers of the chunks that are wanted and not yet downloaded."""
        return self._wanted - self.chunks.keys()

    def is_mostly_downloaded(self):
        """Return whether more than half of the wanted chunks are downloaded."""
        return 2 * len(self.missing()) < len(self._wanted)

    def claim_next(self):
        """Claim the lowest missing chunk that no other task downloads.

        Blocks until there is one. A claim ends when the chunk is added or deferred.

        :returns: the number of the chunk.
        """
        while True:
            now_s = time.monotonic()
            unclaimed = self.missing() - self._claimed
            due = [
                number
                for number in unclaimed
                if self._deferred_until_s.get(number, 0.0) <= now_s
            ]
            if due:
                break
            self._wanted_changed.clear()
            waits_s = [self._deferred_until_s[number] - now_s for number in unclaimed]
            self._wanted_changed.wait(min(waits_s, default=None))
        number = min(due)
        self._claimed.add(number)
        return number

    def defer(self, number, pause_s):
        """End the claim of a chunk, which is not claimed again for `pause_s` seconds."""
        self._deferred_until_s[number] = time.monotonic() + pause_s
        self._claimed.discard(number)

    def is_claimed(self, number):
        """Return whether a task downloads a chunk."""
        return number in self._claimed

    def add(self, number, content):
        """Store a verified chunk and wake the tasks that wait for it."""
        self.chunks[number] = content
        self._claimed.discard(number)
        self.last_progress_s = time.monotonic()
        event = self._arrival_events.pop(number, None)
        if event is not None:
            event.set()

    def wait_for(self, number, timeout_s):
        """Return the chunk once it is downloaded, or None after `timeout_s` seconds."""
        if number not in self.chunks:
            self._arrival_events.setdefault(number, Event()).wait(timeout_s)
        return self.chunks.get(number)
