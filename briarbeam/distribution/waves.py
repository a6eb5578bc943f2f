"""In which order engines change their weights, so that most of them always serve."""

WAVES = 3
# Requests sent to older weights before the last engines are ordered begin in time.
LAST_ORDER_S = 0.45
# An older version that is nearly here is of use if it can serve for a while before the
# newest is required: its last chunks and its load take about a second and a half.
OLDER_USEFUL_S = 2.5
# A wave need not wait for the very last engine of the one before.
SHARE_TOLERANCE = 0.08


def plan_wave(engines, target, model):
    """Return the turn of `target` among `engines`, as fields of a `Greeting`.

    All entries work out the same order from the same list. Engines without weights
    have no turn: nothing is lost when they load at once.

    :param engines: the `Target` objects of one service.
    """
    serving = sorted(t.id for t in engines if t.version_of(model) > 0)
    wave_count = min(WAVES, max(1, len(serving)))
    wave = serving.index(target.id) % wave_count if target.id in serving else 0
    return {"wave": wave, "wave_count": wave_count}


def updated_share(engines, model, version):
    """Return the share of the engines with weights that hold `version` or a newer one."""
    versions = [t.version_of(model) for t in engines]
    serving = [held for held in versions if held > 0]
    if not serving:
        return 0.0
    return round(sum(held >= version for held in serving) / len(serving), 2)


def choose_strategy(greeting, age_s, share):
    """Return the strategy to load with now, or None before the engine's turn.

    The waves end what they run, one after another, while the others serve. Where time
    runs out, all but the last wave are interrupted: a load takes a third of a second,
    and what was running goes on after it.

    :param greeting: the `Greeting` with the engine's turn.
    :param age_s: how long ago the version was named, in seconds.
    :param share: the share of the engines that hold it.
    """
    due = age_s >= greeting.version_within_s - LAST_ORDER_S
    overdue = age_s >= greeting.version_within_s
    first, last = greeting.wave == 0, greeting.wave == greeting.wave_count - 1
    if overdue:
        # No engine may begin a request on older weights any more.
        return "preempt"
    if greeting.wave_count < WAVES:
        return "preempt" if due or first else None
    if first or share >= greeting.wave / greeting.wave_count - SHARE_TOLERANCE:
        return "queue"
    if not due:
        return None
    return "queue" if last else "preempt"


def older_is_useful(version_within_s, newest_age_s):
    """Return whether a version older than the newest is worth being ended first.

    :param newest_age_s: how long ago the newest was named, in seconds.
    """
    return newest_age_s < version_within_s - OLDER_USEFUL_S
