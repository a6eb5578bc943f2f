"""Costs of control that grow with the number of instances, measured in this process.

Each slope is a function of a size. It returns the processor time in milliseconds, the
bytes as sent over the network, and the memory retained in megabytes.
"""

import json
import random
import time
import tracemalloc
import zlib
from types import SimpleNamespace

from briarbeam.configuration.documents import (
    COMPRESSION_LEVEL,
    CONFIGURATION,
    INSTANCES,
    Documents,
    canonical_json,
)
from briarbeam.gate.admission import Load, Ticket
from briarbeam.kernel.clock import SystemClock
from briarbeam.membership.view import Membership
from briarbeam.routing.targets import Targets
from briarbeam.weights.manifest import Chunk, Manifest
from briarbeam.weights.missing_chunks import MissingChunks
from briarbeam.weights.peers import Peers
from briarbeam.weights.plan import plans

DOMAINS = 8
ROUNDS = 5
REGION_TARGETS = 180


def list_change(members):
    """Return the cost to a daemon of one change of the instance list."""
    records = [_instance_record(number) for number in range(members)]
    bodies = []
    for number in range(ROUNDS):
        records[number] = {**records[number], "state": "leaving"}
        bodies.append(canonical_json({"instances": records}))
    instance = SimpleNamespace(name="d0-0", failure_domain="d0")
    membership = Membership(SystemClock(), instance)

    def apply(document):
        membership.update(document.value)
        membership.choose_peers(2, 1)

    return _measure(INSTANCES, bodies, apply)


def configuration_change(resources):
    """Return the cost to a daemon of one change of the configuration."""
    digest = random.randbytes(32).hex()
    resources_by_name = {
        f"version/model{number}@v1": {
            "spec": {
                "model": f"model{number}",
                "manifest_digest": digest,
                "weights_digest": random.randbytes(32).hex(),
                "size_bytes": 1,
                "base_version": None,
            },
            "generation": 1_796_000_000_000 + number,
        }
        for number in range(resources)
    }
    bodies = []
    for number in range(ROUNDS):
        resources_by_name["team/t"] = {
            "spec": {"weight": number + 1.0},
            "generation": number,
        }
        bodies.append(canonical_json({"resources": resources_by_name}))
    return _measure(CONFIGURATION, bodies, lambda document: None)


def chunk_state(chunks):
    """Return the cost to a target, one of 180 in its region, of a version's chunks."""
    chunks_of_version = [Chunk(random.randbytes(32).hex(), 1) for _ in range(chunks)]
    data = Manifest("chat", "v1", "0" * 64, tuple(chunks_of_version)).to_bytes()
    names = [f"d{number % DOMAINS}-{number}" for number in range(REGION_TARGETS)]

    def build():
        manifest = Manifest.from_bytes(data)
        plan = plans.get("scatter")("v1", names[0], names, len(manifest.chunks))
        peers = Peers(SystemClock(), names[0], names)
        need = MissingChunks(SystemClock(), plan, peers, names[0], range(chunks))
        return manifest, plan, peers, need

    return {**_measure_build(build), "packed_bytes": len(data)}


def target_state(targets):
    """Return the cost to an entry daemon of targets that each have replied once."""
    names = [f"target-{number}" for number in range(targets)]
    load = str(Load(3, 16, 2, False))

    def build():
        state = Targets(SystemClock())
        for name in names:
            state.begin_request(name)
            state.record_load(name, load)
            state.is_usable(name)
            state.utilization(name)
        return state

    return {**_measure_build(build), "packed_bytes": len(load)}


def ticket_state(tickets):
    """Return the cost to a gate of the tickets of waiting or running requests."""

    def build():
        return [Ticket("team", 0, 1.0) for _ in range(tickets)]

    return {**_measure_build(build), "packed_bytes": 0}


SLOPES = {
    "list_change": ((120, 370, 740, 1110), list_change),
    "configuration_change": ((30, 100, 300, 1000), configuration_change),
    "chunk_state": ((256, 1024, 4096), chunk_state),
    "target_state": ((100, 370, 740), target_state),
    "ticket_state": ((16, 128, 1024), ticket_state),
}


def _measure(name, bodies, listener):
    """Return the cost of receiving successive bodies of a document.

    The time is the median of one body, the memory that of the first.
    """
    packed = [zlib.compress(body, COMPRESSION_LEVEL) for body in bodies]
    documents = Documents(SystemClock())
    documents.subscribe(name, listener)
    times = []
    for revision, data in enumerate(packed, start=1):
        started_s = time.process_time()
        documents.offer_compressed(name, revision, data)
        documents.get(name).compressed_body()
        times.append(time.process_time() - started_s)
    tracemalloc.start()
    measured = Documents(SystemClock())
    measured.offer_compressed(name, 1, packed[0])
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "cpu_ms": round(1000 * sorted(times)[len(times) // 2], 2),
        "body_bytes": len(bodies[0]),
        "packed_bytes": len(packed[0]),
        "held_mb": round(retained_bytes / 1e6, 2),
    }


def _measure_build(build):
    """Return the processor time of one call of `build` and the memory of its result."""
    started_s = time.process_time()
    build()
    took_s = time.process_time() - started_s
    tracemalloc.start()
    built = build()
    retained_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return {
        "cpu_ms": round(1000 * took_s, 2),
        "held_mb": round(retained_bytes / 1e6, 3),
    }


def _instance_record(number):
    host = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
    role = "entry" if number % 3 == 0 else "target"
    return json.loads(
        json.dumps(
            {
                "name": f"d{number % DOMAINS}-{number}",
                "role": role,
                "region": f"r{number % 3}",
                "failure_domain": f"d{number % DOMAINS}",
                "http": f"{host}:9080",
                "control": f"{host}:9081",
                "state": "live",
                "models": [] if role == "entry" else ["chat"],
                "service": None,
            }
        )
    )
