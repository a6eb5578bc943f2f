"""Odd entries of other writers among the store's records affect no sound one."""

import json
import math

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from briarbeam.catalog import Service
from briarbeam.kernel.clock import ManualClock, SystemClock
from briarbeam.kernel.network import Address
from briarbeam.platform.store import Record, StoreClient
from briarbeam.relay.errors import HistoryGoneError, StoreUnavailableError
from briarbeam.relay.fleet import Fleet
from briarbeam.relay.limits import EntryPosition
from briarbeam.relay.mirror import Mirror
from briarbeam.relay.state_in_force import StateInForce
from briarbeam.relay.target_selector import Requirements, TargetSelector

from .distribution_fakes import FakeNetwork, Reply
from .relay_fakes import new_versions

STORE = Address("10.0.9.1", 80)
SPEC = {
    "service": "s", "address": "10.0.0.9:8080", "zone": "z1", "version": "v1",
    "slots": 16, "state": "ready", "cold_left_ms": 0, "seq": 4, "born": 1700,
}  # fmt: skip
SOUND = json.dumps({"metadata": {"name": "i1", "revision": 3}, "spec": SPEC})
NESTED = "[" * 5000 + "]" * 5000
NESTED_OBJECTS = '{"a":' * 5000 + "1" + "}" * 5000
LARGE_INTEGER = "9" * 5000


def spec_text(**fields):
    """Return the JSON of an entry; `fields` are given as JSON."""
    values = {name: json.dumps(value) for name, value in SPEC.items()} | fields
    fields_text = ",".join(f'"{name}":{value}' for name, value in values.items())
    return f"{{{fields_text}}}"


def item_text(spec, name='"odd"', revision="4"):
    return f'{{"metadata":{{"name":{name},"revision":{revision}}},"spec":{spec}}}'


ODD_SPECS = [
    NESTED,
    NESTED_OBJECTS,
    "[" * 900 + "]" * 900,
    spec_text(slots=NESTED),
    spec_text(extra=NESTED),
    spec_text(slots=LARGE_INTEGER),
    spec_text(extra=LARGE_INTEGER),
    spec_text(slots="1e999"),
    spec_text(slots="NaN"),
    spec_text(slots="9" * 400),
    spec_text(slots="0"),
    *(
        json.dumps({name: SPEC[name] for name in SPEC if name != missing})
        for missing in SPEC
        if missing != "born"
    ),
    spec_text(version="null"),
    spec_text(version="1"),
    spec_text(version='""'),
    spec_text(seq="null"),
    spec_text(seq='"4"'),
    spec_text(seq="-1"),
    spec_text(slots="-1"),
    spec_text(slots="true"),
    spec_text(cold_left_ms="1e999"),
    spec_text(cold_left_ms="NaN"),
    spec_text(cold_left_ms="1e308"),
    spec_text(cold_left_ms="9" * 400),
    spec_text(born="9" * 400),
    spec_text(born="-1"),
    spec_text(born="1e999"),
    spec_text(born="1700.0"),
    spec_text(address='"10.0.0.8:0"'),
    spec_text(address='"10.0.0.8:70000"'),
    spec_text(address='"10.0.0.8:-1"'),
    spec_text(address=f'"10.0.0.8:{LARGE_INTEGER}"'),
    spec_text(address='"10.0.0.999:80"'),
    spec_text(address='"0.0.0.0:80"'),
    spec_text(address='"255.255.255.255:80"'),
    spec_text(address='"224.0.0.1:80"'),
    spec_text(zone='"\\ud800"'),
    spec_text(service='"s\\r\\nx: 1"'),
    spec_text(zone='"z\x01"'),
    spec_text(zone='"z\xff"'),
    spec_text(models="{}"),
    spec_text(models="null"),
    spec_text(models='[{"name":["m"],"version":1}]'),
    spec_text(models='[{"name":"m","version":%s}]' % ("9" * 400)),
    spec_text(models='[{"name":"m","version":true}]'),
    spec_text(models='[{"name":"m","version":"1"}]'),
    spec_text(models='[{"name":"m","version":1}]', layers="7"),
    spec_text(models=NESTED),
    "null",
    '"text"',
    "[]",
    "7",
]


def page_bytes(*items):
    """Return a page; text beyond ASCII becomes bytes that are no UTF-8."""
    joined = ",".join(items)
    return f'{{"items":[{joined}],"store_revision":9}}'.encode("latin-1")


def events_page(*events):
    """Return the answer to a watch."""
    joined = ",".join(events)
    return f'{{"events":[{joined}],"store_revision":9}}'.encode()


def serve(page):
    """Return a client of a store that answers each call with `page`."""
    network = FakeNetwork()
    network.handlers[STORE] = lambda request: Reply(200, page)
    return StoreClient(network, STORE)


def assert_sound_instance_serves(fleet):
    assert [target.id for target in fleet.all()] == ["i1"]
    selector = TargetSelector(
        fleet, ManualClock(), "z1", {"z1": "r1"}, lambda: EntryPosition(0, 1)
    )
    requirements = Requirements(Service("s"), None, 0, ())
    assert selector.pick(requirements).id == "i1"


@pytest.mark.parametrize("spec", ODD_SPECS, ids=lambda spec: spec[-60:][:40])
def test_odd_entry_ends_no_reader_and_names_no_instance(spec):
    records, revision = serve(page_bytes(item_text(spec), SOUND)).list("servers")
    assert revision == 9
    fleet = Fleet(ManualClock(), dict)
    with capture_logs() as logs:
        for _ in range(3):
            fleet.update({record.name: record for record in records})
    assert_sound_instance_serves(fleet)
    malformed = [line for line in logs if line["event"] == "entry_malformed"]
    assert len(malformed) == 1
    assert len(malformed[0]["error"]) < 1000


@pytest.mark.parametrize("spec", ODD_SPECS, ids=lambda spec: spec[-60:][:40])
def test_instance_whose_entry_becomes_odd_is_no_longer_used(spec):
    records, _ = serve(page_bytes(item_text(spec), SOUND)).list("servers")
    odd = {record.name: record for record in records}["odd"]
    fleet = Fleet(ManualClock(), dict)
    sound = {"i1": Record("i1", 3, SPEC)}
    fleet.update(sound | {"odd": Record("odd", 3, SPEC)})
    fleet.update(sound | {"odd": odd})
    assert [target.id for target in fleet.targets("s")] == ["i1"]


@pytest.mark.parametrize(
    "item",
    [
        "null", "7", '"text"', "[]", "{}", '{"metadata":null,"spec":{}}',
        '{"metadata":{"revision":1},"spec":{}}',
        item_text("{}", name="7"), item_text("{}", name='["i1"]'),
        item_text("{}", name='"a\\r\\nb"'), item_text("{}", name='""'),
        f'{{"metadata":{NESTED},"spec":{{}}}}', NESTED, LARGE_INTEGER,
        item_text("{}", name=LARGE_INTEGER), item_text("{}", name=NESTED),
    ],
    ids=lambda item: item[-60:][:40],
)  # fmt: skip
def test_item_that_names_no_record_is_left_out(item):
    records, revision = serve(page_bytes(item, SOUND, item)).list("servers")
    assert [record.name for record in records] == ["i1"]
    assert revision == 9


@pytest.mark.parametrize(
    "revision",
    ["true", "1.5", '"7"', "null", "-1", "1e999", "NaN", "9" * 400, LARGE_INTEGER],
)
def test_odd_revision_hides_no_later_change(revision):
    item = item_text(json.dumps(SPEC), revision=revision)
    records, _ = serve(page_bytes(item, SOUND)).list("servers")
    by_name = {record.name: record for record in records}
    assert by_name["odd"] == Record("odd", 0, None)
    assert max(record.revision for record in records) == 3


@pytest.mark.parametrize(
    "fields",
    [
        '"items":{},"store_revision":9', '"items":[]', '"items":"","store_revision":9',
        '"items":[],"store_revision":"9"', '"items":[],"store_revision":true',
        '"items":[],"store_revision":9.5', '"items":[],"store_revision":null',
        f'"items":[],"store_revision":{LARGE_INTEGER}',
        '"items":[],"store_revision":1e999', '"items":[],"store_revision":-1',
        f'"items":[{SOUND}],"more":true,"store_revision":9',
        '"items":[],"more":true,"store_revision":9',
        f'"items":[{SOUND}],"more":"no","store_revision":9',
    ],
)  # fmt: skip
def test_page_with_odd_fields_of_its_own_is_a_typed_error(fields):
    """A page that repeats itself must not be read forever."""
    store = serve(b"{%s}" % fields.encode())
    with gevent.Timeout(2.0), pytest.raises(StoreUnavailableError):
        store.list("servers")


@pytest.mark.parametrize("fields", [
    '"events":{},"store_revision":9', '"events":[],"store_revision":"9"',
    '"events":[],"store_revision":true', '"events":[]',
])  # fmt: skip
def test_watch_with_odd_fields_of_its_own_is_a_typed_error(fields):
    with pytest.raises(StoreUnavailableError):
        serve(b"{%s}" % fields.encode()).watch("servers", 1, 1.0)


@pytest.mark.parametrize("spec", [NESTED, spec_text(slots=LARGE_INTEGER)])
def test_watch_with_an_odd_entry_brings_the_other_changes(spec):
    events = [f'{{"object":{o},"removed":false}}' for o in (item_text(spec), SOUND)]
    changes, revision = serve(events_page(*events)).watch("servers", 1, 1.0)
    assert [c.record.name for c in changes] == ["odd", "i1"]
    assert changes[0].record.spec is None
    assert revision == 9


@pytest.mark.parametrize(
    "event",
    ["null", "{}", '{"object":null,"removed":false}',
     '{"object":{"metadata":{}},"removed":true}',
     f'{{"object":{SOUND},"removed":{NESTED}}}', f'{{"object":{SOUND}}}'],
    ids=lambda event: event[-60:][:40],
)  # fmt: skip
def test_event_that_names_no_change_leads_to_a_new_list(event):
    """What it would have changed is unknown, so the records are read anew."""
    with pytest.raises(HistoryGoneError):
        serve(events_page(event)).watch("servers", 1, 1.0)


def test_mirror_with_an_odd_entry_follows_later_changes():
    network = FakeNetwork()
    changed = json.dumps(SPEC | {"state": "draining"})
    pages = [
        page_bytes(item_text(NESTED), item_text(spec_text(slots="1e999"), '"o"'), SOUND),
        b'{"events":[{"object":{"metadata":{"name":"i1","revision":10},"spec":%b},'
        b'"removed":false}],"store_revision":10}' % changed.encode(),
    ]  # fmt: skip

    def handle(request):
        if not pages:
            gevent.sleep(60)
        return Reply(200, pages.pop(0))

    network.handlers[STORE] = handle
    clock = SystemClock()
    fleet = Fleet(clock, dict)
    mirror = Mirror(
        StoreClient(network, STORE), "servers", clock, lambda: 0.1, fleet.update
    )
    task = gevent.spawn(mirror.run)
    gevent.sleep(0.2)
    task.kill()
    assert [t.instance.draining for t in fleet.all()] == [True]
    assert mirror.summary == (10, 3)


@pytest.mark.parametrize(
    "spec",
    [NESTED, "null", "7", '{"model":"m"}', '{"model":"m","version":true}',
     '{"model":"m","version":1e999}', '{"model":"m","version":3.5}',
     '{"model":"m","version":%s}' % ("9" * 400), '{"model":"m","version":-1}',
     f'{{"model":"m","version":{LARGE_INTEGER}}}', '{"model":["m"],"version":9}',
     '{"model":"\\ud800","version":9}', '{"model":"","version":9}'],
    ids=lambda spec: spec[-60:][:40],
)  # fmt: skip
def test_odd_named_version_hides_no_other_and_is_logged_once(spec):
    sound = item_text('{"model":"m","version":2}', '"m"', "3")
    records, _ = serve(page_bytes(item_text(spec), sound)).list("versions")
    versions = new_versions(ManualClock())
    with capture_logs() as logs:
        for _ in range(3):
            versions.update({record.name: record for record in records})
    assert versions.newest("m") == 2
    malformed = [line for line in logs if line["event"] == "named_version_malformed"]
    assert len(malformed) == 1


def test_evacuation_with_odd_content_still_names_its_failure_domain():
    page = page_bytes(item_text(NESTED, '"z1"'), item_text("null", '"z2"', '"x"'))
    records, _ = serve(page).list("evacuations")
    assert sorted(record.name for record in records) == ["z1", "z2"]


@pytest.mark.parametrize(
    "fields",
    [{"version": "7"}, {"version": True}, {"version": 10**400},
     {"limits": {"header_timeout_ms": 10**400}},
     {"limits": {"idle_timeout_ms": 10**400}}],
)  # fmt: skip
def test_odd_desired_state_leaves_the_one_in_force(fields):
    in_force = StateInForce(ManualClock())
    sound = {"version": 3, "routes": [], "services": [], "tenants": []}
    in_force.update({"main": Record("main", 3, sound)})
    in_force.update({"main": Record("main", 4, sound | {"version": 9} | fields)})
    assert in_force.state.version == 3


numbers = (
    st.integers()
    | st.integers(min_value=10**300, max_value=10**4000)
    | st.floats()
    | st.sampled_from([0, 65536, 70000, -1, 10**400, math.inf, -math.inf, 1e308])
)
values = st.recursive(
    st.none() | st.booleans() | numbers | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
addresses = st.integers(-(10**6), 10**6).map(lambda port: f"10.0.0.8:{port}")
odd_fields = st.dictionaries(
    st.sampled_from([*SPEC, "models", "layers"]), values | addresses, max_size=4
)


@given(odd_fields.map(lambda fields: SPEC | fields) | values,
       st.dictionaries(st.sampled_from(["name", "revision"]), values, max_size=2))  # fmt: skip
def test_any_entry_of_another_writer_leaves_the_sound_one_serving(spec, metadata):
    metadata = {"name": "odd", "revision": 4} | metadata
    item = json.dumps({"metadata": metadata, "spec": spec})
    records, _ = serve(page_bytes(item, SOUND)).list("servers")
    fleet = Fleet(ManualClock(), dict)
    fleet.update({record.name: record for record in records})
    fleet.update({record.name: record for record in records})
    targets = {target.id: target for target in fleet.all()}
    assert "i1" in targets
    for target in targets.values():
        instance = target.instance
        assert 0 < instance.slots < 2**53
        assert 0 <= instance.started_ms < 2**53
        assert math.isfinite(instance.cold_left_s)
        assert 0 < instance.address.port < 65536
    selector = TargetSelector(
        fleet, ManualClock(), "z1", {"z1": "r1"}, lambda: EntryPosition(0, 1)
    )
    assert selector.pick(Requirements(Service("s"), None, 0, ())) is not None
