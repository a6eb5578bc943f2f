"""In which order engines change their weights, so that most of them always serve."""

WAVES = 3


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
