"""Steps of the scenarios.

A scenario acts on the processes of a site, and then compares the answers that callers
received with the records of the back ends.
"""

import itertools
import signal
import time

import pytest
from pytest_bdd import given, parsers, then, when

from bench.site import Site
from briarbeam.configuration.resources import HEAD_KIND

from .world import ADAPTER, IN_FORCE_WITHIN_S, LAYOUTS, RevisionWatch, World

OUT_OF_SERVICE_WITHIN_S = 3.0
WAIT_S = 60.0

_numbers = itertools.count(1)


@pytest.fixture(scope="session")
def sites():
    """Keep one site running for consecutive scenarios on the same layout."""
    running = {}
    yield running
    for site in running.values():
        site.stop()


@pytest.fixture
def worlds(sites):
    created = []
    yield created
    for world in created:
        world.close()


def pytest_bdd_step_error(request, feature, scenario, step, exception):
    """Print the last log lines of the processes when a step fails."""
    for site in request.getfixturevalue("sites").values():
        print(f"--- failed: {step.name}\n{site.log_tails()}")


@given(parsers.parse("the site {layout}"), target_fixture="world")
def the_site(layout, sites, worlds):
    if layout not in sites:
        while sites:
            sites.popitem()[1].stop()
        sites[layout] = Site(LAYOUTS[layout])
        sites[layout].start()
    world = World(sites[layout], next(_numbers))
    worlds.append(world)
    return world


@given(parsers.parse("version {version} in force everywhere"))
def version_in_force(world, version):
    site = world.site
    name = world.name_of(version)
    domains = {item.failure_domain for item in site.instances.values()}
    resources = [
        {"kind": "model", "name": site.model, "spec": {}},
        {"kind": "service", "name": site.service, "spec": {}},
        *(site.domain_resource(domain, True) for domain in sorted(domains)),
    ]
    world.apply(*resources, site.publish(name), site.rollout_resource(name))
    site.wait_for(lambda: site.count_loaded(name) == len(site.targets()), WAIT_S)
    site.wait_for(lambda: site.count_ready() == len(site.instances), WAIT_S)
    world.started_unix_s = time.time()
    world.watch = RevisionWatch(site)


@given(parsers.parse("{rate:d} callers a second"))
def callers(world, rate):
    world.start_callers(rate)
    world.site.wait_for(lambda: world.callers.counts()["ok"] > rate / 2, WAIT_S)


@given(parsers.parse("{rate:d} callers a second for answers of {tokens:d} tokens"))
def long_callers(world, rate, tokens):
    world.start_callers(rate, max_tokens=tokens)
    world.site.wait_for(lambda: world.callers.counts()["ok"] > rate / 2, WAIT_S)


@given(parsers.parse("{rate:d} settlements a second"))
def settlements(world, rate):
    world.start_settlements(rate)


@given(parsers.parse("{rate:d} settlements a second without keys"))
def keyless_settlements(world, rate):
    world.start_settlements(rate, attempts_max=1, keyed=False)


@given(
    parsers.parse(
        "{rate:d} settlements a second, each sent to two entries simultaneously"
    )
)
def racing_settlements(world, rate):
    world.start_settlements(rate, racing=True)


@given(parsers.parse("an origin of {rate:d} kB a second"))
def set_origin_rate(world, rate):
    world.site.set_faults(world.site.origin, rate_bytes_per_s=rate * 1000)


@given(parsers.parse("an instance list that lags by {lag:d} seconds"))
def set_list_lag(world, lag):
    world.site.set_faults(world.site.object_api, list_lag_s=lag)


@when(parsers.re(r"version (?P<version>\w+) of (?P<size>\d+) kB is accepted"))
def accept_version(world, version, size):
    world.apply_version(version, size_bytes=int(size) * 1000)


@when(parsers.parse("version {version} is accepted again"))
def roll_back(world, version):
    world.apply(world.site.rollout_resource(world.name_of(version)))


@when(parsers.parse("version {version} of the adapter on base {base} is accepted"))
def accept_adapter(world, version, base):
    site = world.site
    model = {"kind": "model", "name": ADAPTER, "spec": {"base": site.model}}
    name, base_name = world.name_of(version), world.name_of(base)
    published_version = site.publish(
        name, model=ADAPTER, base_version=base_name, size_bytes=200_000
    )
    world.base_versions[name] = base_name
    world.apply(model, published_version, site.rollout_resource(name, model=ADAPTER))


@when(parsers.parse("failure domain {domain} is taken out of service"))
def take_out_of_service(world, domain):
    world.take_out_of_service(domain)


@when(
    parsers.parse(
        "failure domain {domain} is taken out of service and the platform goes down immediately"
    )
)
def take_out_of_service_in_outage(world, domain):
    world.site.set_faults(world.site.object_api, down_after=HEAD_KIND)
    world.take_out_of_service(domain)


@when(parsers.parse("failure domain {domain} is returned to service"))
def return_to_service(world, domain):
    world.out_of_service_at_unix_s.pop(domain, None)
    world.apply(world.site.domain_resource(domain, True))


@when(
    parsers.parse(
        "failure domain {domain} is returned to service unless that is refused"
    )
)
def try_return_to_service(world, domain):
    try:
        return_to_service(world, domain)
    except RuntimeError:
        world.accepted_in_service = False
    else:
        world.accepted_in_service = True


@when(parsers.parse("the target {name} is killed"))
@when(parsers.parse("the entry {name} is killed"))
def kill(world, name):
    world.kill(name)


@when(parsers.parse("the daemon of {name} is killed"))
def kill_daemon(world, name):
    world.unreachable.add(name)
    world.site.kill_daemon(world.site.instances[name])


@when(parsers.parse("the daemon of {name} is stopped"))
def stop_daemon(world, name):
    world.stop_daemon(name)


@when(parsers.parse("the daemon of {name} is started again"))
def start_daemon(world, name):
    world.start_daemon(name)


@when(
    parsers.parse("one daemon of each kind in {domain} is stopped and started in turn")
)
def restart_each(world, domain):
    kinds = {(item.role, item.backend): item for item in world.members(domain)}
    for instance in kinds.values():
        world.stop_daemon(instance.name)
        world.start_daemon(instance.name)


@when(parsers.parse("{name} is paused"))
def pause(world, name):
    world.signal(name, signal.SIGSTOP)


@when(parsers.parse("{name} is resumed"))
def resume(world, name):
    world.signal(name, signal.SIGCONT)


@when(parsers.parse("{name} is listed as {state}"))
def set_listed_state(world, name, state):
    world.site.register(world.site.instances[name], state)
    world.out_of_service_at_unix_s[name] = time.time()


@when(parsers.parse("the engine of {name} turns cold"))
def turn_cold(world, name):
    address = world.site.instances[name].backend_address
    world.site.ask(address, "POST", "/turn_cold")


@when("half the engines turn cold")
def turn_half_cold(world):
    for instance in world.site.targets()[::2]:
        turn_cold(world, instance.name)


@when("half the engines are restarted cold")
def restart_engines(world):
    for instance in world.site.targets()[::2]:
        world.site.restart_backend(instance)


@when(parsers.parse("the back end of {name} has {switch} set to {value}"))
def set_fault(world, name, switch, value):
    value = {"true": True, "false": False}.get(value) or float(value)
    for instance in world.members(name):
        if instance.backend:
            world.site.set_faults(instance.backend_address, **{switch: value})


@when(parsers.parse("the origin is {mode}"))
def set_origin_mode(world, mode):
    world.site.set_faults(world.site.origin, mode=mode)


@when(parsers.parse("the platform is {mode}"))
def set_platform_mode(world, mode):
    world.site.set_faults(world.site.object_api, mode=mode)


@when("the platform loses answers")
def platform_loses_answers(world):
    set_platform_mode(world, "lose")


@when("the platform serves stale reads")
def platform_serves_stale_reads(world):
    world.site.set_faults(world.site.object_api, stale_reads=True)


@when(parsers.parse("the platform answers after {delay:g} seconds"))
def set_platform_delay(world, delay):
    world.site.set_faults(world.site.object_api, delay_s=delay)


@when(parsers.parse("{first} is cut off from {second} by {mode}"))
def cut_off(world, first, second, mode):
    second = "object_api" if second == "the platform" else second
    world.cuts.append((first, second))
    world.site.cut(*world.cuts, mode=mode)


@when("all cuts are healed")
def heal_cuts(world):
    world.cuts.clear()
    world.site.cut()


@when(parsers.parse("{count:d} operators race to change {changes:d} times each"))
def race(world, count, changes):
    world.race(count, changes)


@when(parsers.parse("{duration:g} seconds pass"))
def wait(duration):
    time.sleep(duration)


@when(parsers.parse("all requests have ended"))
def end_requests(world):
    world.end_requests()


@then(parsers.parse("version {version} is in force everywhere"))
def check_version(world, version):
    site, name = world.site, world.name_of(version)
    reachable = [item for item in site.targets() if item.name not in world.unreachable]
    site.wait_for(lambda: site.count_loaded(name, reachable) == len(reachable), WAIT_S)


@then("the change is in force on every daemon in time")
def check_in_force(world):
    world.wait_until_in_force(
        world.accepted_at_s + IN_FORCE_WITHIN_S - time.monotonic()
    )


@then("the change is eventually in force on every daemon")
def check_eventually_in_force(world):
    world.wait_until_in_force(WAIT_S)


@then(parsers.parse("some daemon of {domain} is behind"))
def check_behind(world, domain):
    revisions = [world.site.revision(item) for item in world.members(domain)]
    assert any(revision < world.revision for revision in revisions)


@then(parsers.parse("what was accepted for {domain} is in force on every entry"))
def check_accepted_domain(world, domain):
    def in_service_values():
        found = [world.site.resources(entry) for entry in world.site.entries()]
        return {
            item["spec"]["in_service"]
            for items in found
            for item in items
            if item["name"] == domain
        }

    world.site.wait_for(
        lambda: in_service_values() == {world.accepted_in_service}, IN_FORCE_WITHIN_S
    )


@then("the last accepted change is the one in force")
def check_last_change(world):
    world.wait_until_in_force(WAIT_S)
    revisions = [revision for revision, _ in world.race_results]
    assert len(revisions) == len(set(revisions)), "two changes share a revision"
    last = max(world.race_results)
    assert world.contested_weights() == {last[1]}


@then(parsers.parse("adapter version {version} is in force everywhere"))
def check_adapter(world, version):
    site, name = world.site, world.name_of(version)
    site.wait_for(lambda: world.adapters() == {name}, WAIT_S)


@then("each adapter was loaded onto its base's version")
def check_adapter_bases(world):
    versions = {}
    for record in world.records("order"):
        if record["name"] == ADAPTER:
            base = versions.get(record["instance"], "v1")
            assert world.base_versions[record["version"]] == base
        else:
            versions[record["instance"]] = record["version"]


@then(parsers.parse("some engine serves version {version}"))
def check_some_engine(world, version):
    name = world.name_of(version)
    world.site.wait_for(lambda: world.site.count_loaded(name) > 0, WAIT_S)


@then("every answer is complete and from one version")
def check_complete(world):
    world.end_requests()
    counts = world.callers.counts()
    assert counts["ok"] > 0
    assert counts["wrong"] == 0
    assert counts["partial"] == 0
    versions = {item.version for item in world.callers.outcomes if item.result == "ok"}
    assert versions <= set(world.site.weights_digests)


@then("no request was refused or interrupted")
def check_all_served(world):
    world.end_requests()
    failed = [x for x in world.callers.outcomes if x.result != "ok"]
    assert not failed, f"{len(failed)} of {len(world.callers.outcomes)}: {failed[:3]}"


@then(parsers.parse("{name} gets no new work after 3 seconds"))
def check_no_new_work(world, name):
    out_of_service_at = world.out_of_service_at_unix_s[name]
    late = [
        round(record["at"] - out_of_service_at, 2)
        for record in world.records("ran", world.members(name, "target"))
        if record["at"] > out_of_service_at + OUT_OF_SERVICE_WITHIN_S
    ]
    assert not late
    others = [
        record for record in world.records("ran") if record["at"] > out_of_service_at
    ]
    assert any(
        record["at"] > out_of_service_at + OUT_OF_SERVICE_WITHIN_S for record in others
    )


@then(parsers.parse("{name} gets new work again"))
def check_new_work(world, name):
    since = time.time()
    members = world.members(name, "target")
    world.site.wait_for(
        lambda: any(record["at"] > since for record in world.records("ran", members)),
        WAIT_S,
    )


@then("each instruction ran at most once")
def check_at_most_once(world):
    world.end_requests()
    assert world.settlements.doubled() == []
    assert world.settlements.lost() == []
    assert world.settlements.wrong() == []


@then("instructions are answered again")
def check_answered_again(world):
    since_s = time.monotonic()
    world.site.wait_for(lambda: world.settlements.answered_since(since_s), WAIT_S)


@then(parsers.parse("at least {count:d} instructions were answered"))
def check_answered(world, count):
    world.end_requests()
    answered = [item for item in world.settlements.settlements if item.answered]
    assert len(answered) >= count


@then("no instruction was refused or interrupted")
def check_all_instructions(world):
    world.end_requests()
    items = world.settlements.settlements
    assert [item for item in items if item.attempts != ["ok"]] == []


@then("each refusal that reports not run is true")
def check_not_run(world):
    world.end_requests()
    if world.settlements:
        assert world.settlements.false_not_run() == []
    if world.callers:
        ran = world.prompts_that_ran()
        reported_not_run = [x for x in world.callers.outcomes if x.ran == "no"]
        assert [item for item in reported_not_run if item.prompt in ran] == []


@then("no engine ran over its limit")
def check_limit(world):
    world.end_requests()
    assert world.records("over_limit") == []
    assert world.records("collapsed") == []


@then("no engine loaded partial weights, or any while it was running requests")
def check_loads(world):
    bad_reads = [item for item in world.records("bad_weights") if item["digest"]]
    assert bad_reads == []
    published = {
        *world.site.weights_digests.values(),
        *world.site.adapter_digests.values(),
    }
    loaded = {record["weights_digest"] for record in world.records("order")}
    assert loaded <= published
    assert world.records("loaded_while_running") == []


@then("no revision in force ever decreased")
def check_no_revert(world):
    assert world.watch.regressions == []
