"""Tests of traces: they cover each hop of a request and stay within their budget."""

from opentelemetry.sdk.trace.sampling import Decision

from bench.layout import Domain
from bench.site import Site
from briarbeam.kernel.clock import ManualClock
from briarbeam.telemetry.traces import BoundedSampler

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"


def test_sampler_does_not_exceed_its_rate():
    clock = ManualClock()
    sampler = BoundedSampler(clock, ratio=1.0, spans_per_s_max=10)
    for expected in (20, 10):
        decisions = [sampler.should_sample(None, n, "x").decision for n in range(100)]
        sampled = sum(decision is not Decision.DROP for decision in decisions)
        assert sampled == expected
        clock.advance(1.0)


def test_each_hop_of_a_request_has_a_span():
    domains = (Domain("hobart", "south", entries=1, engines=1),)
    with Site(domains) as site:
        site.declare("v1")
        site.wait_for(lambda: site.count_loaded("v1") == 1)
        site.wait_for(lambda: site.count_ready() == len(site.instances))
        entry, target = site.entries()[0], site.targets()[0]
        body = {"model": site.model, "prompt": "x", "max_tokens": 2}
        headers = {"traceparent": f"00-{TRACE_ID}-b7ad6b7169203331-01"}
        site.ask(entry.http, "POST", "/v1/completions", body, headers)
        hops = []
        for instance in (entry, target):
            spans = site.ask(instance.http, "GET", "/traces")["spans"]
            hops += [span for span in spans if span["trace_id"] == TRACE_ID]
        names = [(span["kind"], span["name"].split()[1]) for span in hops]
        assert ("server", "/v1/completions") in names
        assert ("server", "/gate/generate") in names
        assert sum(kind == "client" for kind, _ in names) >= 2
        spans_by_id = {span["span_id"]: span for span in hops}
        gate = next(span for span in hops if "/gate/generate" in span["name"])
        assert spans_by_id[gate["parent_id"]]["kind"] == "client"
