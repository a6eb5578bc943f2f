"""Reading of documents from the platform on behalf of a failure domain.

The first members in rendezvous order watch the configuration and read the instance
list. The following members are standbys: they start to read if the revision held has
not been confirmed for some time, each later than the one before it. The delays between
them grow, so that few daemons call the platform during a long outage.
"""

import random

import structlog
from prometheus_client import Gauge

from ..kernel.errors import NotFoundError, PlatformError
from .documents import CONFIGURATION, INSTANCES, canonical_json
from .head import Head
from .resources import HEAD_KIND, HEAD_NAME

WATCHERS_PER_DOMAIN = 2
STANDBY_DELAY_GROWTH = 1.25
POLL_INTERVAL_S = 0.25
INSTANCE_LIST_INTERVAL_S = 1.0
WATCHES_PER_READ = 5

_BEHIND = Gauge(
    "briarbeam_platform_behind",
    "Revisions by which the platform is behind what is in force",
    ["document"],
)
_log = structlog.get_logger()


class Watcher:
    """Reads documents from the platform into the `Documents` of this daemon.

    :param objects: the platform's `ObjectApi`.
    :param documents: the `Documents` of this daemon.
    :param membership: the `Membership`, which has this daemon's rank among watchers.
    :param settings: the `SpreadSettings`.
    """

    def __init__(self, objects, documents, membership, clock, settings):
        self._objects = objects
        self._documents = documents
        self._membership = membership
        self._clock = clock
        self._settings = settings
        self._head_version = 0
        self._head_revision = 0
        self._rounds = 0
        self._behind = set()

    def start(self, tasks):
        """Start the periodic watch and the periodic read of the instance list."""
        tasks.repeat(self.watch_once, POLL_INTERVAL_S, self._clock)
        tasks.repeat(
            self.read_instance_list_once, self._instance_list_interval_s, self._clock
        )

    def is_due(self, document):
        """Return whether this daemon should read `document` from the platform now.

        A watcher always should. A standby should if the revision held has not been
        confirmed for a time that grows with its rank.
        """
        standby_rank = self._membership.rank - WATCHERS_PER_DOMAIN
        if standby_rank < 0:
            return True
        delay_s = self._settings.stale_after_s * STANDBY_DELAY_GROWTH**standby_rank
        return self._documents.confirmed_age_s(document) > delay_s

    def watch_once(self):
        """Watch or read the configuration if this daemon is due."""
        if not self.is_due(CONFIGURATION):
            return
        try:
            self._watch()
        except PlatformError as error:
            self._back_off(error)
        except NotFoundError:
            self._clock.sleep(1.0)

    def read_instance_list_once(self):
        """Read the instance list if this daemon is due."""
        if not self.is_due(INSTANCES):
            return
        try:
            self.read_instance_list()
        except PlatformError as error:
            self._back_off(error)

    def read_head(self):
        """Read the configuration from the platform.

        :raises PlatformError: if the platform does not answer or refuses.
        :raises NotFoundError: if no resource was ever declared.
        """
        found = self._objects.get(HEAD_KIND, HEAD_NAME, held_version=self._head_version)
        self._update_from(found)

    def nothing_declared(self):
        """Return whether the platform answers that it has no configuration."""
        try:
            self._objects.get(HEAD_KIND, HEAD_NAME)
        except NotFoundError:
            return True
        except PlatformError as error:
            _log.info("platform_not_read", error=str(error))
        return False

    def read_instance_list(self):
        """Read the instance list from the platform.

        :raises PlatformError: if the platform does not answer or refuses.
        """
        held = self._documents.get(INSTANCES)
        found = self._objects.instances(held.revision)
        if found is None:
            self._documents.confirm(INSTANCES, held.revision, 0.0)
            return
        revision, instances = found
        self._offer(INSTANCES, revision, canonical_json({"instances": instances}))

    def _watch(self):
        """Wait for a change of the configuration, or read it.

        Standbys always read. Watchers read at first and in every round whose number is
        a multiple of `WATCHES_PER_READ`, because a watch does not notice that the
        platform was restored to an older version.
        """
        self._rounds += 1
        is_standby = self._membership.rank >= WATCHERS_PER_DOMAIN
        if is_standby or not self._head_version or self._rounds % WATCHES_PER_READ == 0:
            self.read_head()
            return
        wait_s = self._settings.watch_timeout_s
        found = self._objects.watch(HEAD_KIND, HEAD_NAME, self._head_version, wait_s)
        self._update_from(found)

    def _update_from(self, stored):
        """Offer the head; None means that it is unchanged since it was last read."""
        if stored is None:
            self._documents.confirm(CONFIGURATION, self._head_revision, 0.0)
            return
        head = Head.from_object(stored)
        self._offer(CONFIGURATION, head.revision, head.body())
        self._head_version, self._head_revision = head.version, head.revision

    def _offer(self, name, revision, body):
        """Offer what the platform returned, and report if it is behind peers."""
        self._documents.offer(name, revision, body, 0.0)
        lag = self._documents.get(name).revision - revision
        _BEHIND.labels(name).set(max(0, lag))
        if lag > 0 and name not in self._behind:
            self._behind.add(name)
            _log.warning("platform_behind", document=name, revision=revision,
                         in_force=revision + lag)  # fmt: skip
        elif lag <= 0 and name in self._behind:
            self._behind.discard(name)
            _log.info("platform_caught_up", document=name, revision=revision)

    def _instance_list_interval_s(self):
        return INSTANCE_LIST_INTERVAL_S * random.uniform(0.8, 1.2)

    def _back_off(self, error):
        self._clock.sleep((error.retry_after_s or 1.0) * random.uniform(0.5, 1.5))
