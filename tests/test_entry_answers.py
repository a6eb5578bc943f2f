"""Answers are complete, of one version, and released however they end."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarbeam.gate.envelope import decode_body
from briarbeam.kernel.http import Request
from tests.routing_fakes import RoutingBench, member

NAMES = ("t1", "t2", "t3")
RESOURCES = {("model", "chat"): {}, ("service", "ledger"): {}}


def _bench(*names, **entry):
    members = [member(name) for name in names or ("t1", "t2", "t3")]
    return RoutingBench(members, RESOURCES, **entry)


def _ask(bench, stream=True, headers=None, path="/v1/completions", **body):
    body = {"model": "chat", "prompt": "p", "max_tokens": 4, "stream": stream, **body}
    request = Request("POST", path, headers or {}, {}, json.dumps(body).encode(), "")
    return bench.kernel.router.handle(request)


def _texts(body):
    """Return the text of a stream, and ``done`` or the ``ran`` value of its error."""
    texts, ends = [], []
    for line in b"".join(body).decode().split("\n\n"):
        if line == "data: [DONE]":
            ends.append("done")
        elif line.startswith("event: error\ndata: "):
            ends.append(json.loads(line.partition("data: ")[2])["error"]["ran"])
        elif line:
            event = json.loads(line.removeprefix("data: "))
            texts.append(event["choices"][0]["text"])
    return "".join(texts), ends


def test_interrupted_stream_resumes_on_the_same_version():
    bench = _bench()
    bench.network.break_after = {"t1": 2, "t2": 2, "t3": 2}
    text, ends = _texts(_ask(bench).body)
    assert text == "v1-0 v1-1 v1-2 v1-3"
    assert ends == ["done"]
    assert len({name for name, _ in bench.network.sent}) == 2


def test_stream_ends_in_an_error_if_its_version_is_gone():
    bench = _bench("t1", "t2")
    bench.network.versions = {"t1": "v1", "t2": "v2"}
    bench.network.break_after = {"t1": 2, "t2": 2}
    text, ends = _texts(_ask(bench).body)
    version = text[:2]
    assert text == f"{version}-0 {version}-1"
    assert ends == ["unknown"]


def test_unstreamed_answer_restarts_if_its_version_is_gone():
    bench = _bench("t1", "t2")
    bench.network.versions = {"t1": "v1", "t2": "v2"}
    bench.network.break_after = {"t1": 2}
    for _ in range(10):
        answer = json.loads(_ask(bench, stream=False).body)
        texts = {text[:2] for text in answer["choices"][0]["text"].split()}
        assert len(texts) == 1
        assert answer["usage"]["completion_tokens"] == 4
        assert answer["briarbeam"]["version"] in texts


@pytest.mark.parametrize(
    ("lines", "texts"),
    [
        (lambda frames: [frames[0], frames[0], *frames[1:]], 1),
        (lambda frames: [frames[0], *frames[2:]], 1),
        (lambda frames: frames[:-1], 4),
        (lambda frames: [frames[0], *frames[-1:]], 1),
    ],
    ids=["doubled", "lost", "no end", "short"],
)
def test_frames_out_of_order_are_never_accepted(lines, texts):
    bench = _bench("t1")
    make_frames = bench.network._frames
    bench.network._frames = lambda *args: lines(make_frames(*args))
    text, ends = _texts(_ask(bench).body)
    assert len(text.split()) == texts
    assert ends == ["unknown"]


ODD_LINES = [
    b"", b"{", b'{"token": "v1-1", "inde', b"7", b"null", b'"text"', b"[]", b"{}",
    b'["error"]', b'{"error": null}', b'{"error": "text"}', b'{"done": true}',
    b'{"index": 1, "version": "v1"}', b'{"token": "x", "index": 1}',
    b"HTTP/1.1 500 Oops", b"[" * 5000 + b"]" * 5000, b"9" * 5000,
]  # fmt: skip


@pytest.mark.parametrize("line", ODD_LINES, ids=lambda line: line[:20])
def test_line_that_is_no_frame_is_no_part_of_a_stream(line):
    """The answer resumes at another target, and otherwise ends in an error."""
    bench = _bench("t1", "t2")
    make_frames = bench.network._frames
    odd_targets = {"t1"}

    def frames(name, envelope, version):
        lines = make_frames(name, envelope, version)
        return [lines[0], line, *lines[1:]] if name in odd_targets else lines

    bench.network._frames = frames
    for _ in range(4):
        text, ends = _texts(_ask(bench).body)
        assert text == "v1-0 v1-1 v1-2 v1-3"
        assert ends == ["done"]
    odd_targets.add("t2")
    text, ends = _texts(_ask(bench).body)
    assert text.split() == [f"v1-{index}" for index in range(len(text.split()))]
    assert ends == ["unknown"]


@pytest.mark.parametrize(
    "behaviour",
    ["no_connect", "refuse", "closed", "fail", "break_before", "break_after",
     "crossed", "unreadable"],
)  # fmt: skip
def test_error_of_the_next_target_is_no_part_of_a_broken_stream(behaviour):
    bench = _bench("t1", "t2")
    network = bench.network
    network.break_after = dict.fromkeys(("t1", "t2"), 2)
    fail_later = lambda: "ok" if len(network.sent) == 1 else behaviour  # noqa: E731
    network.behaviours = dict.fromkeys(("t1", "t2"), fail_later)
    text, ends = _texts(_ask(bench).body)
    assert text == "v1-0 v1-1"
    assert len(ends) == 1 and ends != ["done"]
    assert len(network.sent) > 1


@pytest.mark.parametrize("frames_read", [0, 1, 99])
def test_answer_is_released_however_far_it_was_read(frames_read):
    bench = _bench("t1")
    body = _ask(bench).body
    assert bench.entry._running == 1
    for _, _ in zip(range(frames_read), body, strict=False):
        continue
    body.close()
    assert bench.entry._running == 0
    assert bench.routing.targets.state("t1").in_flight == 0
    assert all(reply.closed for reply in bench.network.replies)


def test_disconnected_caller_ends_an_unstreamed_answer():
    bench = _bench("t1")
    answers = iter([False, True])
    request = Request(
        "POST",
        "/v1/completions",
        {},
        {},
        json.dumps({"model": "chat", "prompt": "p", "max_tokens": 9}).encode(),
        "",
    )
    request.caller_disconnected = lambda: next(answers)
    bench.kernel.router.handle(request)
    assert next(answers, None) is None
    assert bench.network.replies[0].closed
    assert len(bench.network.sent) == 1


@pytest.mark.parametrize(
    ("headers", "body", "status"),
    [
        ({"x-deadline-s": "nan"}, {}, 400),
        ({"x-deadline-s": "-1"}, {}, 400),
        ({"x-deadline-s": "inf"}, {}, 400),
        ({"x-team": "a b"}, {}, 400),
        ({}, {"max_tokens": 0}, 400),
        ({}, {"prompt": 3}, 400),
        ({}, {"model": "other"}, 404),
        ({"authorization": "Bearer wrong"}, {}, 401),
        ({"x-team": "keyed"}, {}, 401),
        ({"authorization": "Bearer right"}, {}, 200),
        ({"x-team": "free", "x-deadline-s": "2.5"}, {}, 200),
    ],
)
def test_headers_and_body_of_a_caller_are_validated(headers, body, status):
    """The API key of the team ``keyed`` is ``right``."""
    digest = "27042f4e6eca7d0b2a7ee4026df2ecfa51d3339e6d122aa099118ecd8563bad9"
    bench = _bench("t1")
    bench.configure({**RESOURCES, ("team", "keyed"): {"key_digest": digest}})
    response = _ask(bench, stream=False, headers=headers, **body)
    assert response.status == status
    if status != 200:
        assert json.loads(response.body)["error"]["ran"] == "no"
        assert not bench.network.sent


def test_service_call_is_forwarded_unchanged():
    bench = RoutingBench([member("t1", service="ledger")], RESOURCES)
    sent = []
    original = bench.network._ok
    bench.network._ok = lambda name, envelope, request: (
        sent.append((envelope, request.headers)) or original(name, envelope, request)
    )
    trace_id, span_id = "a" * 32, "b" * 16
    headers = {"idempotency-key": "k", "traceparent": f"00-{trace_id}-{span_id}-01"}
    request = Request(
        "POST",
        "/services/ledger/a b/c",
        headers,
        {"q": "2"},
        b"{}",
        "",
        query_text="q=1+2&q=2",
    )
    assert bench.kernel.router.handle(request).body == b"done"
    envelope, sent_headers = sent[0]
    assert envelope["path"] == "a%20b/c?q=1+2&q=2"
    assert envelope["idempotency_key"] == "k"
    version, found_trace, found_span, _ = sent_headers["traceparent"].split("-")
    assert (version, found_trace) == ("00", trace_id)
    assert found_span != span_id
    for key in ("", "k" * 256, "a b"):
        request.headers["idempotency-key"] = key
        assert bench.kernel.router.handle(request).status == 400
    assert len(sent) == 1
    request.headers.pop("idempotency-key")
    request.body = b"\xff\x00"
    assert bench.kernel.router.handle(request).status == 200
    assert decode_body(sent[1][0]) == b"\xff\x00"


@given(
    breaks=st.fixed_dictionaries({name: st.integers(0, 7) for name in NAMES}),
    versions=st.fixed_dictionaries(
        {name: st.sampled_from(["v1", "v2"]) for name in NAMES}
    ),
    stream=st.booleans(),
)
def test_no_token_is_doubled_lost_or_of_another_version(breaks, versions, stream):
    bench = _bench(*NAMES)
    bench.network.break_after = breaks
    bench.network.versions = versions
    response = _ask(bench, stream=stream, max_tokens=6)
    complete_texts = {
        version: " ".join(f"{version}-{index}" for index in range(6))
        for version in ("v1", "v2")
    }
    if not stream and response.status == 200:
        answer = json.loads(response.body)
        text = answer["choices"][0]["text"]
        assert text == complete_texts[answer["briarbeam"]["version"]]
    elif not stream:
        text = ""
        assert json.loads(response.body)["error"]["ran"] == "unknown"
    else:
        text, ends = _texts(response.body)
        assert any(full.startswith(text) for full in complete_texts.values())
        assert ends == (["done"] if text in complete_texts.values() else ["unknown"])
    if len(set(versions.values())) == 1 and min(breaks.values()) >= 2:
        assert text in complete_texts.values()
