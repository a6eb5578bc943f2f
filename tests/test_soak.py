"""A short seeded run of the soak; longer runs are started by hand."""

import shutil

from soak.run import SoakPlan, run_soak
from soak.site import SiteSize


def test_short_soak_has_no_violations():
    result = run_soak(
        SoakPlan(seed=4, seconds=6.0, callers=5, size=SiteSize(domains=2, entries=1))
    )
    assert result.violations == []
    assert result.attempts > 100
    shutil.rmtree(result.folder)
