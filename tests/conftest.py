"""Configuration of all tests: gevent's patches and the list of known failures."""

from gevent import monkey

monkey.patch_all()

from pathlib import Path  # noqa: E402

import pytest  # noqa: E402
from hypothesis import settings  # noqa: E402

settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known_red():
    lines = KNOWN_RED.read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if line and line[0] != "#"]


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Report a failure that is listed in KNOWN-RED.txt, and no other, as expected."""
    outcome = yield
    report = outcome.get_result()
    if report.when == "call" and report.failed and item.nodeid in _known_red():
        report.outcome = "skipped"
        report.wasxfail = "listed in KNOWN-RED.txt"


def pytest_terminal_summary(terminalreporter):
    """Print the tests that are known to fail."""
    for nodeid in _known_red():
        terminalreporter.write_line(f"known red: {nodeid}")
