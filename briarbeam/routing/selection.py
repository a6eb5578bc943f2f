"""Policies that choose the target of a request, in a registry.

``balanced`` is the default. ``random`` is a simple baseline for measurements: it picks
any target in service and allows a fixed number of retries.
"""

import hashlib
import random

from ..kernel.errors import OverloadedError, UnavailableError
from ..kernel.registry import Registry
from ..membership.members import rendezvous_order

NEAR_UTILIZATION_MAX = 0.75
OVER_SHARE_QUEUE_RATIO = 0.5
NO_SLOT_REFUSALS_MAX = 3

policies = Registry("routing policy")


class Policy:
    """Base class of the policies.

    A subclass may set `enforces_silence_timeout` to False, so that an idempotent job
    waits until its deadline for a target that sends nothing, and `can_resume` to False,
    so that interrupted answers are not resumed at another target.

    :param routing: the `RoutingPlugin` whose state of the targets is used.
    """

    enforces_silence_timeout = True
    can_resume = True

    def __init__(self, routing):
        self._routing = routing
        self._targets = routing.targets
        self._instance = routing.settings.instance

    def choose(self, job):
        """Return the member to send `job` to; a policy may also set `job.may_wait`.

        :raises UnavailableError: if no target is in service.
        :raises OverloadedError: if all targets are full.
        """
        raise NotImplementedError

    def spend_retry(self, job):
        """Return whether `job` may be sent again.

        A policy with retry budgets deducts the retry from the budget of the job's team.
        """
        raise NotImplementedError


@policies.register("random")
class RandomPolicy(Policy):
    """Picks any target in service and allows a fixed number of retries."""

    enforces_silence_timeout = False
    can_resume = False

    def choose(self, job):
        members = list(self._routing.members_serving(job))
        if not members:
            raise UnavailableError("no target is in service", retry_after_s=1.0)
        return random.choice(members)

    def spend_retry(self, job):
        return True


@policies.register("balanced")
class BalancedPolicy(Policy):
    """Prefers near targets, and the less utilized of two random ones.

    A target is near if it is in the entry's own failure domain. The order of preference
    is:

    1. near targets that are not nearly full, first the one with affinity to the
       request's prefix;
    2. any targets that are not full, at random, weighted by their reported free slots;
    3. targets whose queue has room;
    4. ejected targets that are not known to be closed, with one trial request each, for
       jobs that are idempotent or have waited for an unreached target.
    """

    def __init__(self, routing):
        super().__init__(routing)
        self._subset_size = routing.settings.entry.subset_size
        self._orders = {}
        self._order_key = None

    def choose(self, job):
        near, far, replaced = self._subsets(job)
        if not near and not far:
            raise UnavailableError("no target is in service", retry_after_s=1.0)
        self._routing.probe_if_due(near + far + replaced)
        untried = [member for member in near + far if member.name not in job.tried]
        usable = [item for item in untried if self._targets.is_usable(item.name)]
        if job.version:
            usable = self._with_version(job, usable)
        lightly_loaded = [
            item
            for item in usable
            if item.failure_domain == self._instance.failure_domain
            and self._is_below(item, NEAR_UTILIZATION_MAX)
        ]
        chosen = self._pick_near(job, lightly_loaded)
        if chosen is None:
            chosen = self._pick_by_free_slots(
                [item for item in usable if self._is_below(item, 1.0)]
            )
        job.may_wait = chosen is None or job.no_slot_refusals >= NO_SLOT_REFUSALS_MAX
        if chosen is None:
            chosen = self._pick_queue(job, usable)
        return chosen or self._pick_trial(job, untried, usable)

    def spend_retry(self, job):
        return self._routing.budgets.spend(job.team)

    def _subsets(self, job):
        """Return the near and the far targets that this entry uses for `job`.

        The third list has targets that failed too often and are only probed.
        """
        near, far, replaced = [], [], []
        own = self._instance.failure_domain
        for member in self._order(job):
            pool = near if member.failure_domain == own else far
            if len(far) >= self._subset_size:
                break
            if len(pool) >= self._subset_size:
                continue
            if self._targets.is_replaced(member.name):
                pool = replaced
            pool.append(member)
        if near or far:
            return near, far, replaced
        return replaced[: self._subset_size], [], []

    def _order(self, job):
        """Return the members that serve `job`, in this entry's order of preference."""
        order_key = self._routing.update_members()
        if order_key != self._order_key:
            self._orders.clear()
            self._order_key = order_key
        target_key = (job.model, job.service)
        if target_key not in self._orders:
            self._orders[target_key] = self._make_order(job, target_key)
        return self._orders[target_key]

    def _make_order(self, job, target_key):
        members = {member.name: member for member in self._routing.members_serving(job)}
        key = f"{self._instance.name}/{target_key}"
        ordered = [members[name] for name in rendezvous_order(key, members)]
        return sorted(ordered, key=self._distance)

    def _distance(self, member):
        if member.failure_domain == self._instance.failure_domain:
            return 0
        return 1 if member.region == self._instance.region else 2

    def _with_version(self, job, usable):
        """Return the targets that may have the version that the job requires.

        These are the targets known to have it; if there are none, those whose version
        is unknown; if there are none either, all.
        """
        seen = {
            item.name: self._targets.state(item.name).versions.get(job.model)
            for item in usable
        }
        known = [item for item in usable if seen[item.name] == job.version]
        return known or [item for item in usable if seen[item.name] is None] or usable

    def _is_below(self, member, utilization):
        return self._targets.utilization(member.name) < utilization

    def _pick_near(self, job, pool):
        preferred = self._affinity_target(job, pool)
        if preferred is not None:
            return preferred
        return self._less_utilized(pool)

    def _affinity_target(self, job, pool):
        """Return the less utilized of the two targets for the prefix, or None.

        The pool has no target that is nearly full, so load takes precedence over
        affinity. Entries with the same pool compute the same two targets, so a prefix
        is cached at few targets. New prefixes are spread as evenly as by two random
        choices.
        """
        if not job.affinity or not pool:
            return None

        def rank(member):
            key = f"{job.model}/{job.affinity}/{member.name}".encode()
            return hashlib.blake2b(key, digest_size=8).digest()

        candidates = sorted(pool, key=rank)[:2]
        return min(
            candidates, key=lambda member: self._targets.utilization(member.name)
        )

    def _pick_by_free_slots(self, pool):
        """Return a random target, weighted by the free slots that were reported."""
        slots = [self._targets.free_slots(member.name) for member in pool]
        known = [count or 0 for count in slots]
        if any(count > 0 for count in known):
            return random.choices(pool, weights=[max(0, count) for count in known])[0]
        return self._less_utilized(pool)

    def _pick_queue(self, job, usable):
        """Return a target in whose queue `job` may wait, or None.

        Requests of a team over its fair share may fill only the first half of the
        queues. A request of a team within its share may be sent to a full queue, where
        it may displace a request of a team that has more requests queued.
        """
        share = (
            OVER_SHARE_QUEUE_RATIO if self._routing.shares.is_over(job.team) else 1.0
        )
        open_queues = [
            item for item in usable if not self._targets.is_queue_full(item.name, share)
        ]
        if not open_queues and self._routing.shares.is_within(job.team):
            open_queues = usable
        return self._less_utilized(open_queues)

    def _pick_trial(self, job, untried, usable):
        """Return an ejected target to which `job` is sent without a probe.

        :raises OverloadedError: if there are usable targets, all of them full.
        :raises UnavailableError: if no target may be tried without a probe.
        """
        if usable:
            raise OverloadedError(
                "every target is full",
                retry_after_s=self._targets.retry_after_s(item.name for item in usable),
            )
        trials = [item for item in untried if self._targets.may_try_unprobed(item.name)]
        if not trials or not (job.idempotent or job.waited_for_unreached):
            raise UnavailableError(
                "no target can accept the request now",
                retry_after_s=self._targets.retry_after_s(
                    item.name for item in untried
                ),
            )
        return random.choice(trials)

    def _less_utilized(self, pool):
        pair = random.sample(pool, min(2, len(pool)))
        return min(
            pair,
            key=lambda member: self._targets.utilization(member.name),
            default=None,
        )
