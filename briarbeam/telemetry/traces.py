"""Traces: a span for each hop, sampled so that they fit a budget.

A span opens where a request comes in (kernel.http) and where one goes out
(kernel.network). The last spans are kept in memory and served over HTTP; instances
have no disks.
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

BURST_S = 2.0


class BoundedSampler(Sampler):
    """Samples by ratio and by what callers ask for, up to a rate.

    :param ratio: share of the traces that begin here.
    :param spans_per_s_max: spans a second, so that no caller can spend the budget.
    """

    def __init__(self, clock, ratio, spans_per_s_max):
        self._clock = clock
        self._inner = ParentBasedTraceIdRatio(ratio)
        self._rate_per_s = spans_per_s_max
        self._tokens = spans_per_s_max * BURST_S
        self._filled_at_s = clock.monotonic_s()

    def should_sample(self, parent_context, trace_id, name, *args, **kwargs):
        """Return the inner sampler's decision, or a drop past the rate."""
        result = self._inner.should_sample(
            parent_context, trace_id, name, *args, **kwargs
        )
        if result.decision is Decision.DROP or self._take():
            return result
        return SamplingResult(Decision.DROP, trace_state=result.trace_state)

    def get_description(self):
        """Return the sampler's name."""
        return f"BoundedSampler({self._inner.get_description()})"

    def _take(self):
        now_s = self._clock.monotonic_s()
        earned = (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(self._rate_per_s * BURST_S, self._tokens + earned)
        self._filled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class SpanRing(SpanProcessor):
    """Keeps the last finished spans.

    :param size: how many are kept.
    """

    def __init__(self, size):
        self._spans = deque(maxlen=size)

    def on_end(self, span):
        """Keep a finished span."""
        self._spans.append(span)

    def to_list(self):
        """Return the kept spans as plain values, oldest first."""
        return [_to_dict(span) for span in self._spans]


def install_tracer(settings, instance, clock):
    """Make the process's spans real and return the ring that keeps them.

    :param settings: the `TelemetrySettings` to follow.
    :param instance: the `InstanceSettings` to name the source by.
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
