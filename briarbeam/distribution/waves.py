"""The waves in which engines change weights, so that most engines always serve.

Where load control is on and the engines are busy, they take turns instead; see
`placement.rolling_update`.
"""

from ..placement.rolling_update import EngineState

WAVES_MAX = 3
# The last engines are ordered to load this long before the version has to be in use.
# Requests that were sent to older weights until then still begin in time.
LAST_ORDER_LEAD_S = 0.45
# An older version that is mostly downloaded is of use if the newest one is not required
# for longer than this: the remaining chunks and the load take about 1.5 s, and the
# older version can then serve for a while.
OLDER_USEFUL_S = 2.5
# A wave may start when this share of all engines is still missing from the waves before
# it, so that it does not wait for the very last engine.
SHARE_TOLERANCE = 0.08


def plan_wave(engines, target, model):
    """Return the wave of `target` and the number of waves, as fields of a `Greeting`.

    All entries compute the same waves from the same list. Engines without weights are
    not counted and need not wait: they serve nothing that a load would interrupt.

    :param engines: the `Target` objects of one service.
    :param target: one of them.
    """
    serving = sorted(t.id for t in engines if t.version_of(model) > 0)
    wave_count = min(WAVES_MAX, max(1, len(serving)))
    wave = serving.index(target.id) % wave_count if target.id in serving else 0
    return {"wave": wave, "wave_count": wave_count}


def plan_turn(plan, engines, target, newest):
    """Return the turn of `target` as a field of a `Greeting`.

    :param plan: the `TurnPlan` of the service, which is updated.
    :param engines: as in `plan_wave`.
    :param newest: the model and its newest named version.
    """
    model, version = newest
    # Greetings are sent all the time, and updates are rare.
    is_updating = any(0 < engine.version_of(model) < version for engine in engines)
    states = [_describe(engine, model) for engine in engines] if is_updating else []
    plan.update(states, version)
    return {"turn": plan.turn(target.id)}


def _describe(target, model):
    report, instance = target.report, target.instance
    load = target.outstanding if report is None else report.running + report.waiting
    return EngineState(
        target.id,
        instance.failure_domain,
        load,
        instance.slots,
        target.version_of(model),
    )


def updated_share(engines, model, version):
    """Return the share of engines that hold `version` or a newer one, from 0 to 1.

    Engines without weights are not counted.

    :param engines: as in `plan_wave`.
    """
    versions = [t.version_of(model) for t in engines]
    serving = [held for held in versions if held > 0]
    if not serving:
        return 0.0
    return round(sum(held >= version for held in serving) / len(serving), 2)


def choose_strategy(greeting, age_s, share):
    """Return the strategy of `order_load` to use now, or None while the wave must wait.

    One wave after another finishes its running requests and loads, while the other
    engines serve. A wave that still waits `LAST_ORDER_LEAD_S` before the deadline
    interrupts its requests, except the last wave. Interrupted requests continue after
    the load, which takes a third of a second. With fewer than `WAVES_MAX` waves all of
    them interrupt their requests, and so does any wave that still waits at the
    deadline.

    :param greeting: the `Greeting` with the engine's wave.
    :param age_s: the seconds since the version was named.
    :param share: the `updated_share` of the version.
    """
    due = age_s >= greeting.version_within_s - LAST_ORDER_LEAD_S
    overdue = age_s >= greeting.version_within_s
    first, last = greeting.wave == 0, greeting.wave == greeting.wave_count - 1
    if overdue:
        # No engine may begin a request on older weights after this time.
        return "preempt"
    if greeting.wave_count < WAVES_MAX:
        return "preempt" if due or first else None
    if first or share >= greeting.wave / greeting.wave_count - SHARE_TOLERANCE:
        return "queue"
    if not due:
        return None
    return "queue" if last else "preempt"


def older_is_useful(version_within_s, newest_age_s):
    """Return whether it is worthwhile to complete an older version before the newest.

    :param newest_age_s: the seconds since the newest version was named.
    """
    return newest_age_s < version_within_s - OLDER_USEFUL_S
