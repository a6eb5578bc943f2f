"""The choice of targets: subsets, spillover, ejection, affinity and fair shares."""

from collections import Counter

import pytest

from briarbeam.kernel.errors import OverloadedError, UnavailableError
from briarbeam.routing.targets import EJECTION_MAX_S, JITTER, Phase
from tests.routing_fakes import RoutingBench, member

FREE, FULL = "0/4/0/0/", "4/4/2/0/"


def _report(bench, **loads):
    for name, load in loads.items():
        bench.routing.targets.record_load(name, load)


def _chosen(bench, count=40, **fields):
    """Return how often each target is chosen, without sending anything."""
    choose = bench.routing.policy.choose
    return Counter(choose(bench.job(**fields)).name for _ in range(count))


def _three_domains(**entry):
    members = [
        member("t1", "hobart"),
        member("t2", "hobart"),
        member("t3", "launceston"),
        member("t4", "burnie"),
    ]
    return RoutingBench(members, **entry)


def test_own_failure_domain_comes_first():
    assert set(_chosen(_three_domains())) == {"t1", "t2"}


def test_own_region_comes_before_others():
    members = [member(f"t{number}", "burnie") for number in range(1, 9)]
    bench = RoutingBench([*members, member("t9", "huon")], subset_size=1)
    assert set(_chosen(bench)) == {"t9"}


def test_full_domain_spills_to_reported_free_slots():
    bench = _three_domains()
    _report(bench, t1=FULL, t2=FULL, t3="3/4/0/0/", t4="4/4/1/0/")
    assert set(_chosen(bench)) == {"t3"}


def test_spill_is_weighted_by_free_slots():
    bench = _three_domains()
    _report(bench, t1=FULL, t2=FULL, t3="31/32/0/0/", t4="0/32/0/0/")
    counts = _chosen(bench, 400)
    assert counts["t4"] > 10 * counts["t3"]


def test_sent_requests_reduce_the_reported_free_slots():
    """Between two load reports, no more requests are sent than slots were free."""
    bench = _three_domains()
    _report(bench, t1=FULL, t2=FULL, t3="2/4/0/0/", t4="2/4/0/0/")
    for _ in range(4):
        name = bench.routing.policy.choose(bench.job()).name
        assert name in ("t3", "t4")
        bench.routing.targets.begin_request(name)
    assert bench.routing.targets.free_slots("t3") == 0
    assert bench.routing.targets.free_slots("t4") == 0


def test_old_load_reports_are_ignored():
    bench = _three_domains()
    _report(bench, t1=FULL, t2=FULL)
    bench.clock.advance(5)
    assert set(_chosen(bench)) == {"t1", "t2"}


def test_targets_out_of_service_or_leaving_get_nothing():
    bench = RoutingBench(
        [member("t1"), member("t2", leaving=True), member("t3", "burnie")]
    )
    assert set(_chosen(bench)) == {"t1"}
    bench.configure({("failure-domain", "hobart"): {"in_service": False}})
    assert set(_chosen(bench)) == {"t3"}
    bench.configure(
        {
            ("failure-domain", name): {"in_service": False}
            for name in ("hobart", "burnie")
        }
    )
    with pytest.raises(UnavailableError):
        bench.routing.policy.choose(bench.job())


def test_subset_is_stable_and_spreads_over_entries():
    """If a target is removed, each entry that used it replaces only this one."""
    members = [member(f"t{number}") for number in range(1, 93)]
    used = Counter()
    for number in range(46):
        bench = RoutingBench(members)
        bench.kernel.settings.instance.__dict__["name"] = f"e{number}"
        near, far, _ = bench.routing.policy._subsets(bench.job())
        subset = {item.name for item in near}
        assert (len(subset), far) == (12, [])
        bench.configuration_plugin.members = {
            item.name: item for item in members if item.name != "t1"
        }
        updated_subset = {
            item.name for item in bench.routing.policy._subsets(bench.job())[0]
        }
        assert len(updated_subset - subset) == ("t1" in subset)
        used.update(subset)
    assert len(used) == 92
    assert max(used.values()) <= 3 * 46 * 12 / 92


def test_requests_are_sent_to_the_subset_only():
    members = [member(f"t{number}") for number in range(1, 201)]
    bench = RoutingBench(members)
    for _ in range(100):
        chosen, response = bench.routing.send(bench.job())
        bench.routing.finish(chosen, response)
    assert len({name for name, _ in bench.network.sent}) == 12


def test_affinity_uses_two_targets_until_they_are_loaded():
    members = [member(f"t{number}") for number in range(1, 9)]
    bench = RoutingBench(members)
    first = set(_chosen(bench, affinity="terms and conditions"))
    assert len(first) == 1
    for name in first:
        bench.routing.targets.record_load(name, "2/4/0/0/")
    second = set(_chosen(bench, affinity="terms and conditions"))
    assert len(second) == 1
    assert not second & first
    for name in second:
        bench.routing.targets.record_load(name, FULL)
        bench.routing.targets.record_load(*first, FULL)
    others = set(_chosen(bench, affinity="terms and conditions"))
    assert others
    assert not others & (first | second)


def test_ejected_target_returns_by_probe_and_one_trial_after_growing_pauses():
    bench = RoutingBench([member("t1"), member("t2")])
    targets = bench.routing.targets
    bench.network.dead.add("t1")
    pauses = []
    targets.record_failure("t1")
    for _ in range(6):
        state = targets.state("t1")
        assert state.phase is Phase.EJECTED
        pauses.append(state.next_probe_s - bench.clock.monotonic_s())
        assert set(_chosen(bench)) == {"t2"}
        bench.clock.advance(pauses[-1])
        assert set(_chosen(bench)) == {"t2"}
    assert 2 * pauses[0] < pauses[2] <= EJECTION_MAX_S * (1 + JITTER)
    assert len([name for name, _ in bench.network.probes if name == "t1"]) == 6
    bench.network.dead.clear()
    bench.clock.advance(EJECTION_MAX_S * 2)
    _chosen(bench)
    assert targets.state("t1").phase is Phase.TRIAL
    targets.begin_request("t1")
    assert not targets.is_usable("t1")
    targets.end_request("t1")
    targets.record_success("t1")
    assert set(_chosen(bench)) == {"t1", "t2"}


def test_simultaneous_failures_count_as_one():
    """One broken connection or target may fail all requests in flight."""
    bench = RoutingBench([member("t1")])
    for _ in range(20):
        bench.routing.targets.record_failure("t1")
    assert bench.routing.targets.state("t1").failures == 1


def test_closed_target_gets_no_request_until_a_probe_finds_it_open():
    bench = RoutingBench([member("t1"), member("t2")])
    _report(bench, t1="0/4/0/0/changing")
    assert set(_chosen(bench)) == {"t2"}
    bench.clock.advance(1)
    assert set(_chosen(bench, 2)) == {"t2"} or bench.network.probes
    assert set(_chosen(bench)) == {"t1", "t2"}
    assert bench.network.probes == [("t1", "/readyz")]


def test_full_queues_refuse_at_once_while_reports_are_recent():
    """A target that just refused because its queue is full gets no more requests."""
    bench = RoutingBench([member("t1")], attempts_max=1)
    bench.network.behaviours["t1"] = "refuse"
    bench.network.loads["t1"] = FULL
    with pytest.raises(OverloadedError):
        bench.routing.send(bench.job())
    for _ in range(10):
        with pytest.raises(OverloadedError) as caught:
            bench.routing.send(bench.job())
        assert caught.value.retry_after_s > 0
    assert len(bench.network.sent) == 1
    bench.clock.advance(1)
    with pytest.raises(OverloadedError):
        bench.routing.send(bench.job())
    assert len(bench.network.sent) == 2


def test_team_within_its_share_is_not_shed():
    bench = RoutingBench([member("t1")], attempts_max=1)
    bench.network.behaviours["t1"] = "refuse"
    bench.network.loads["t1"] = FULL
    shares = bench.routing.shares
    for _ in range(20):
        shares.begin_request("large")
    shares.begin_request("small")
    with pytest.raises(OverloadedError):
        bench.routing.send(bench.job(team="large"))
    assert len(bench.network.sent) == 1
    with pytest.raises(OverloadedError):
        bench.routing.send(bench.job(team="large"))
    assert len(bench.network.sent) == 1
    with pytest.raises(OverloadedError):
        bench.routing.send(bench.job(team="small"))
    assert len(bench.network.sent) == 2


def test_shares_go_by_weight_and_priority():
    bench = RoutingBench([member("t1")])
    shares = bench.routing.shares
    for _ in range(3):
        shares.begin_request("heavy", weight=3.0)
    shares.begin_request("light")
    assert not shares.is_over("heavy")
    shares.begin_request("heavy", weight=3.0)
    assert shares.is_over("heavy")
    assert not shares.is_over("light")
    for _ in range(9):
        shares.begin_request("urgent", priority=1)
    assert not shares.is_over("urgent")
    bench.clock.advance(2)
    for name, count in (("heavy", 4), ("light", 1)):
        for _ in range(count):
            shares.end_request(name)
    assert not shares.is_within("urgent")
