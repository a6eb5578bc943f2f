"""Tests of requests from end to end, through separate processes."""

from bench.callers import Callers
from bench.layout import Domain
from bench.site import Site
from standins.engine import token_of

DOMAINS = (
    Domain("hobart", "south", entries=1, engines=2, services=1),
    Domain("burnie", "north", entries=1, engines=1),
)


def test_version_is_rolled_out_and_requests_are_answered():
    with Site(DOMAINS) as site:
        site.declare("v1")
        site.wait_for(lambda: site.count_loaded("v1") == 3)
        site.wait_for(lambda: site.count_ready() == len(site.instances))
        callers = Callers(site, rate_per_s=20)
        for number in range(10):
            entry = site.entries()[number % 2]
            outcome = callers.complete(entry, f"prompt {number}")
            assert outcome.result == "ok"
            assert outcome.version == "v1"
        answer = site.ask(
            site.entries()[0].http,
            "POST",
            "/services/ledger/settlements",
            {"amount": 1},
            {"idempotency-key": "k1"},
        )
        repeated = site.ask(
            site.entries()[1].http,
            "POST",
            "/services/ledger/settlements",
            {"amount": 1},
            {"idempotency-key": "k1"},
        )
        assert repeated == answer
        ran = [
            record
            for record in site.backend_records(site.targets("service")[0])
            if record["event"] == "ran"
        ]
        assert len(ran) == 1


def test_adapter_answers_requests():
    domains = (Domain("hobart", "south", entries=1, engines=1),)
    with Site(domains) as site:
        site.declare("v1")
        site.apply(
            {"kind": "model", "name": "tariffs", "spec": {"base": site.model}},
            site.publish("a1", model="tariffs", base_version="v1", size_bytes=200_000),
            site.rollout_resource("a1", model="tariffs"),
        )
        entry = site.entries()[0].http
        body = {"model": "tariffs", "prompt": "p", "max_tokens": 3}

        def complete():
            return site.ask(entry, "POST", "/v1/completions", body)

        site.wait_for(lambda: "choices" in complete())
        digests = site.weights_digests["v1"], site.adapter_digests["a1"]
        expected = " ".join(token_of(*digests, "p", index) for index in range(3))
        answer = complete()
        assert answer["choices"][0]["text"] == expected
        assert answer["briarbeam"]["version"] == "a1"
