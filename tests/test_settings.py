"""Validation of the settings, which takes place before anything starts."""

import pytest

from briarbeam.kernel.errors import SettingsError
from briarbeam.settings import check


def _raw(**changes):
    raw = {
        "role": "entry",
        "instance": {"name": "e1", "region": "south", "failure_domain": "hobart"},
        "listen": {"http": "127.0.0.1:8080", "control": "127.0.0.1:8081"},
        "platform": {"object_api": "127.0.0.1:7000", "origin": "127.0.0.1:7001"},
        "entry": {},
    }
    raw.update(changes)
    return raw


def test_defaults_are_applied():
    assert check(_raw()).entry.attempts_max == 3


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"colour": "red"}, "colour = 'red'"),
        (
            {"drain_timeout": 3},
            "drain_timeout = 3: unknown key; did you mean 'drain_timeout_s'?",
        ),
        (
            {"listen": {"http": "host.example:80", "control": "127.0.0.1:1"}},
            "listen.http = 'host.example:80': Value error, expected IP:PORT",
        ),
        ({"drain_timeout_s": -1}, "drain_timeout_s = -1"),
        (
            {"listen": {"http": "here", "control": "127.0.0.1:1"}},
            "listen.http = 'here'",
        ),
        ({"entry": None}, "role 'entry' needs a section"),
    ],
)
def test_message_names_the_invalid_key(changes, message):
    with pytest.raises(SettingsError) as caught:
        check(_raw(**changes))
    assert message in str(caught.value)
