"""A short seeded run of the fault soak; longer ones are played by hand."""

import shutil

from soak.run import SoakPlan, play
from soak.site import Size


def test_short_soak_breaks_no_promise():
    result = play(
        SoakPlan(seed=4, seconds=6.0, callers=5, size=Size(domains=2, entries=1))
    )
    assert result.violations == []
    assert result.attempts > 100
    shutil.rmtree(result.folder)
