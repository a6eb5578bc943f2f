"""A model of the store that is restored from copies, without sockets or processes."""

import json
from urllib.parse import parse_qs, urlsplit

from briarbeam.kernel.network import Address

from .test_platform_records import CONFIG

STORE = Address("10.9.9.9", 1)


class Answer:
    """An answer of the store, as `HttpNetwork.send` returns it."""

    def __init__(self, status, headers, value):
        self.status, self.headers = status, headers
        self._body = b"" if value is None else json.dumps(value).encode()

    def read(self, size_bytes=None):
        body, self._body = self._body, b""
        return body

    def close(self):
        pass


class RestorableStore:
    """Keeps one desired state, and returns to any of its earlier revisions.

    It stands in for a `Network`: `send` computes an answer, calls `on_the_way` if that
    is set, and returns the answer, which is then late.

    `content` has the version of the state at each era and revision that ever existed.
    """

    def __init__(self):
        self.era = 1
        self.header = lambda: str(self.era)
        # The version of the state by revision; the store counts from 1.
        self.versions = [1]
        self.content = {}
        self.on_the_way = None
        self.calls = []
        self._record_content()

    @property
    def revision(self):
        return len(self.versions)

    def write(self, version):
        self.versions.append(version)
        self._record_content()

    def rewind(self, lost):
        """Lose the last `lost` writes, but not the first one."""
        del self.versions[max(1, len(self.versions) - lost) :]
        self.era += 1
        self._record_content()

    def _record_content(self):
        for index, version in enumerate(self.versions):
            self.content[self.era, index + 1] = version

    def send(self, address, request):
        self.calls.append(request.path)
        answer = self._answer(parse_qs(urlsplit(request.path).query))
        on_the_way, self.on_the_way = self.on_the_way, None
        if on_the_way is not None:
            on_the_way()
        return answer

    def _answer(self, query):
        header = self.header()
        headers = {} if header is None else {"store-era": header}
        item = {
            "metadata": {"name": "main", "revision": self.revision},
            "spec": dict(CONFIG, version=self.versions[-1]),
        }
        page = {"store_revision": self.revision}
        if "watch" not in query:
            return Answer(200, headers, page | {"items": [item]})
        since = int(query["watch"][0])
        if since > self.revision:
            return Answer(410, headers, None)
        events = [{"object": item, "removed": False}] if since < self.revision else []
        return Answer(200, headers, page | {"events": events})
