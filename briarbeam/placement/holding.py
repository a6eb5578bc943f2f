"""Decides how long a request waits at an entry for capacity that is about to appear.

After all machines have started again, and while engines change weights, engines become
available one after another within fractions of a second. A caller that is refused
meanwhile returns more than a second later, and can't be in time then.

Load pattern: all engines start together, while callers that were cut off return beside
new ones. Under a steady overload no capacity appears, so nothing is held: a queue at
the entry would serve nobody sooner.
"""

# The longest hold. Engines load weights in a third of a second.
HOLD_MAX_S = 0.6
# Limits on the pause between two searches, each of which costs up to three datagrams.
PAUSE_MIN_S, PAUSE_MAX_S = 0.05, 0.15
# Time that an engine needs to begin the answer to a request that was held.
FIRST_EVENT_S = 0.1


def hold_pause_s(held_s, target_latency_s, has_returned, place_wait_s):
    """Return how long to wait before the next search, or None to refuse the request.

    A request is held while it can still be in time. One that returns after a refusal
    can't be, but its caller does not return once more.

    :param held_s: for how long the request has waited.
    :param target_latency_s: the time within which its answer is in time.
    :param has_returned: whether its caller returns after a refusal.
    :param place_wait_s: the shortest time until a place that an engine stated, or None.
    """
    limit_s = HOLD_MAX_S
    if not has_returned:
        limit_s = min(HOLD_MAX_S, target_latency_s - FIRST_EVENT_S)
    pause_s = PAUSE_MAX_S if place_wait_s is None else place_wait_s
    pause_s = min(PAUSE_MAX_S, max(PAUSE_MIN_S, pause_s))
    return pause_s if held_s + pause_s < limit_s else None
