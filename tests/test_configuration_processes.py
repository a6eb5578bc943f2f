"""Changes reach real daemons in time despite frozen watchers and an outage."""

import signal
import time

from bench.layout import Domain
from bench.site import Site
from briarbeam.configuration.watcher import WATCHERS_PER_DOMAIN
from briarbeam.membership.view import watch_order

IN_FORCE_S = 5.0
LIST_METRIC = 'briarbeam_document_revision{document="instances"}'
DOMAINS = (
    Domain("hobart", "south", entries=4, engines=0),
    Domain("burnie", "north", entries=4, engines=0),
)


def _has_complete_list(site, instance):
    """Return whether a daemon has an instance list that includes all announcements."""
    metrics = site.metrics(instance)
    return metrics.get(LIST_METRIC, 0) >= len(site.instances)


def _watchers(site):
    names = []
    for domain in DOMAINS:
        roles = {
            item.name: item.role
            for item in site.instances.values()
            if item.failure_domain == domain.name
        }
        names += watch_order(roles)[:WATCHERS_PER_DOMAIN]
    return names


def test_in_force_with_all_watchers_frozen_and_the_platform_silent_after_the_write():
    with Site(DOMAINS) as site:
        all_instances = site.instances.values()
        site.wait_for(
            lambda: all(_has_complete_list(site, item) for item in all_instances)
        )
        frozen = _watchers(site)
        awake = [item for item in all_instances if item.name not in frozen]
        for name in frozen:
            site.signal(name, signal.SIGSTOP)
        revision = site.apply(site.domain_resource("burnie", False), entry=awake[0])
        site.set_faults(site.object_api, mode="silent")
        accepted_s = time.monotonic()
        reached_s = {}
        while len(reached_s) < len(awake) and time.monotonic() - accepted_s < 60:
            for item in awake:
                held = site.revision(item) or 0
                if item.name not in reached_s and held >= revision:
                    reached_s[item.name] = time.monotonic() - accepted_s
        assert len(reached_s) == len(awake)
        assert max(reached_s.values()) <= IN_FORCE_S
        for name in frozen:
            site.signal(name, signal.SIGCONT)
        site.wait_for(lambda: all(site.revision(i) == revision for i in all_instances))
