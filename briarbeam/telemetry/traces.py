"""Traces: one span per hop, sampled within a budget.

A span is started for each incoming request (kernel.http) and for each outgoing one
(kernel.network). The most recent spans are kept in memory and served over HTTP, as
instances have no disks.
"""

from collections import deque

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import (
    Decision,
    ParentBasedTraceIdRatio,
    Sampler,
    SamplingResult,
)

# The rate limit allows this many seconds' worth of spans at once.
BURST_S = 2.0


class BoundedSampler(Sampler):
    """Samples by ratio or by the sampling flag of the caller, up to a rate limit.

    :param ratio: the share of the traces that start in this process to sample.
    :param spans_per_s_max: the limit on spans per second, so that callers that request
        sampling can't exceed the budget.
    """

    def __init__(self, clock, ratio, spans_per_s_max):
        self._clock = clock
        self._ratio_sampler = ParentBasedTraceIdRatio(ratio)
        self._rate_per_s = spans_per_s_max
        self._tokens = spans_per_s_max * BURST_S
        self._refilled_at_s = clock.monotonic_s()

    def should_sample(self, parent_context, trace_id, name, *args, **kwargs):
        """Return the decision of the ratio sampler, or a drop above the rate limit."""
        result = self._ratio_sampler.should_sample(
            parent_context, trace_id, name, *args, **kwargs
        )
        if result.decision is Decision.DROP or self._take_token():
            return result
        return SamplingResult(Decision.DROP, trace_state=result.trace_state)

    def get_description(self):
        """Return the name of the sampler."""
        return f"BoundedSampler({self._ratio_sampler.get_description()})"

    def _take_token(self):
        now_s = self._clock.monotonic_s()
        refill = (now_s - self._refilled_at_s) * self._rate_per_s
        self._tokens = min(self._rate_per_s * BURST_S, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class SpanRing(SpanProcessor):
    """Ring buffer of the most recently finished spans.

    :param size: the number of spans to keep.
    """

    def __init__(self, size):
        self._spans = deque(maxlen=size)

    def on_end(self, span):
        """Store a finished span, which replaces the oldest one if the ring is full."""
        self._spans.append(span)

    def to_list(self):
        """Return the stored spans as JSON values, oldest first."""
        return [_to_dict(span) for span in self._spans]


def install_tracer(settings, instance, clock):
    """Install the tracer provider of the process and return the `SpanRing` it fills.

    :param settings: the `TelemetrySettings` to follow.
    :param instance: the `InstanceSettings` that identify the source of the spans.
    """
    sampler = BoundedSampler(
        clock, settings.trace_sample_ratio, settings.trace_spans_per_s_max
    )
    resource = Resource(
        {"service.name": "briarbeam", "service.instance.id": instance.name}
    )
    ring = SpanRing(settings.trace_spans_kept)
    provider = TracerProvider(
        sampler=sampler, resource=resource, shutdown_on_exit=False
    )
    provider.add_span_processor(ring)
    trace.set_tracer_provider(provider)
    return ring


def _to_dict(span):
    context = span.get_span_context()
    parent = span.parent
    return {
        "trace_id": f"{context.trace_id:032x}",
        "span_id": f"{context.span_id:016x}",
        "parent_id": f"{parent.span_id:016x}" if parent else None,
        "name": span.name,
        "kind": span.kind.name.lower(),
        "start_unix_ns": span.start_time,
        "duration_ms": (span.end_time - span.start_time) / 1e6,
        "attributes": dict(span.attributes),
    }
