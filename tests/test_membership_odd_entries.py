"""Odd entries in the platform's instance list affect no sound member."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from structlog.testing import capture_logs

from bench.state_group import Reply
from briarbeam.configuration.documents import INSTANCES, Documents
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.network import Address
from briarbeam.membership.members import rendezvous_order
from briarbeam.objects.client import ObjectApi

ENTRY = {
    "name": "n1", "role": "entry", "region": "r1", "failure_domain": "z1",
    "http": "10.0.0.1:80", "control": "10.0.0.1:81", "models": ["m"],
}  # fmt: skip
NESTED = "[" * 5000 + "]" * 5000
LARGE_INTEGER = "9" * 5000


def entry_text(**fields):
    """Return the JSON of an entry; `fields` are given as JSON."""
    entry = {**ENTRY, "name": "odd"}
    values = {name: json.dumps(value) for name, value in entry.items()} | fields
    joined = ",".join(f'"{name}":{value}' for name, value in values.items())
    return f"{{{joined}}}"


ODD = {
    "nested": NESTED,
    "nested_field": entry_text(models=NESTED),
    "nested_extra": entry_text(extra=NESTED),
    "large_extra": entry_text(extra=LARGE_INTEGER),
    "infinite_name": entry_text(name="1e999"),
    "null": "null",
    "number": "7",
    "text": '"n2"',
    "list": "[]",
    "empty": "{}",
    "port": entry_text(http='"10.0.0.8:70000"'),
    "port_0": entry_text(control='"10.0.0.8:0"'),
    "large_port": entry_text(http=f'"10.0.0.8:{LARGE_INTEGER}"'),
    "address": entry_text(http="80"),
    "name": entry_text(name='["n1"]'),
    "surrogate": entry_text(name='"\\ud800"'),
    "line_end": entry_text(name='"n1\\r\\n"'),
    "domain": entry_text(failure_domain="null"),
    "unhashable_domain": entry_text(failure_domain="{}"),
    "models": entry_text(models='"m"'),
    "model": entry_text(models='[["m"]]'),
    "service": entry_text(service="[]"),
}


def answer_with(*entries):
    joined = ",".join(entries)
    return f'{{"revision":5,"instances":[{joined}]}}'.encode()


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
def test_odd_entry_hides_no_member_and_is_logged_once(odd):
    documents = Documents(ManualClock())
    with capture_logs() as logs:
        for revision in (5, 6, 7):
            body = answer_with(odd, json.dumps(ENTRY))
            assert documents.offer(INSTANCES, revision, body)
    assert list(documents.get(INSTANCES).value) == ["n1"]
    assert [line["event"] for line in logs] == ["members_malformed"]
    assert len(str(logs)) < 1000


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
def test_list_with_an_odd_entry_is_read_from_the_platform(odd):
    class Network:
        def send(self, address, request):
            return Reply(200, answer_with(odd, json.dumps(ENTRY)))

    revision, instances = ObjectApi(Network(), Address("10.0.0.9", 80)).instances()
    assert revision == 5
    assert ENTRY in instances
    json.dumps(instances)


values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(st.dictionaries(st.sampled_from([*ENTRY, "state", "service"]), values, max_size=4)
       .map(lambda fields: ENTRY | {"name": "odd"} | fields) | values)  # fmt: skip
def test_any_entry_leaves_the_members_in_order(odd):
    documents = Documents(ManualClock())
    body = answer_with(json.dumps(odd), json.dumps(ENTRY))
    assert documents.offer(INSTANCES, 5, body)
    members = documents.get(INSTANCES).value
    assert members["n1"].http == Address("10.0.0.1", 80)
    rendezvous_order("key", members)
