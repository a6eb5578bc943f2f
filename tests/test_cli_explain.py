"""Tests of ``briarbeam explain --context``: the log lines that explain a request."""

import json

from cleo.testers.command_tester import CommandTester

from briarbeam.cli.application import build

NAMED = {"event": "version_named", "model": "m", "certain": True, "age_s": 0.0}


def explain(folder, lines, options="--context"):
    """Return the lines that are printed for the request ``a``.

    :param lines: tuples of daemon, second of a minute and fields.
    """
    files = {}
    for source, second, fields in lines:
        stamped = fields | {"timestamp": f"2026-01-01T00:00:{second:06.3f}Z"}
        files.setdefault(source, []).append(json.dumps(stamped))
    paths = []
    for source, texts in files.items():
        path = folder / f"{source}.log"
        path.write_text("\n".join(texts) + "\n")
        paths.append(str(path))
    tester = CommandTester(build().find("explain"))
    assert tester.execute(f"a {' '.join(paths)} {options}") == 0
    return tester.io.fetch_output().splitlines()


def request(**fields):
    return {"event": "request", "request_id": "a", "outcome": "ok"} | fields


def events(shown):
    return [tuple(line.split()[1:3]) for line in shown]


def test_version_that_only_other_entries_know_is_printed(tmp_path):
    """In incident inc1, only other entries knew the version that was decisive."""
    shown = explain(
        tmp_path,
        [
            ("f2", 1, NAMED | {"version": 2}),
            ("f3", 1.5, NAMED | {"version": 2}),
            ("f2", 3, NAMED | {"version": 3}),
            ("f1", 5, {"event": "started", "role": "entry"}),
            ("f1", 6, NAMED | {"version": 3, "age_s": 5.0, "certain": False}),
            ("f1", 20, request(target="i1")),
        ],
    )
    assert events(shown) == [
        ("f2", "version_named"),
        ("f2", "version_named"),
        ("f1", "version_named"),
        ("f1", "request"),
    ]
    assert "version=2" in shown[0] and "named_at={'2': '00:00:01.000000'}" in shown[0]
    assert "named_at={'3': '00:00:01.000000'}" in shown[2]


def test_naming_times_that_an_entry_received_are_printed(tmp_path):
    learned = {
        "event": "namings_learned",
        "model": "m",
        "known": [[3, 5.0, False]],
        "told": [[2, 8.5], [3, 6.5]],
    }
    shown = explain(
        tmp_path, [("f1", 10, learned), ("f2", 10, learned), ("f1", 40, request())]
    )
    assert events(shown) == [("f1", "namings_learned"), ("f1", "request")]
    assert "'2': '00:00:01.500000', '3': '00:00:03.500000'" in shown[0]


def test_only_loads_of_the_engine_of_the_request_are_printed(tmp_path):
    shown = explain(
        tmp_path,
        [
            ("s1", 1, {"event": "started", "role": "stager", "host": "10.0.0.1"}),
            ("s2", 1, {"event": "started", "role": "stager", "host": "10.0.0.2"}),
            ("f1", 2, {"event": "instance_seen", "instance": "i1", "host": "10.0.0.1"}),
            ("f1", 2, {"event": "instance_seen", "instance": "i2", "host": "10.0.0.2"}),
            ("s1", 30, {"event": "load_ordered", "version": 2, "age_s": 4.0}),
            ("s2", 30, {"event": "load_ordered", "version": 2, "age_s": 4.0}),
            ("f1", 40, request(target="i1")),
        ],
    )
    assert events(shown) == [
        ("f1", "instance_seen"),
        ("s1", "load_ordered"),
        ("f1", "request"),
    ]


def test_context_of_a_refused_request_includes_all_instances(tmp_path):
    gone = {"event": "instance_gone", "instance": "i1"}
    leaving = {"event": "instance_leaving", "instance": "i2"}
    shown = explain(
        tmp_path,
        [
            ("f1", 9, gone),
            ("f1", 31, gone),
            ("f1", 32, leaving),
            ("f1", 40, request(outcome="no_capacity")),
        ],
    )
    assert events(shown) == [
        ("f1", "instance_gone"),
        ("f1", "instance_leaving"),
        ("f1", "request"),
    ]


def test_lines_after_the_request_are_not_printed(tmp_path):
    shown = explain(
        tmp_path,
        [("f1", 40, request()), ("f1", 41, NAMED | {"version": 2})],
    )
    assert events(shown) == [("f1", "request")]


def test_line_with_a_malformed_age_is_printed(tmp_path):
    lines = [
        ("f1", 39, {"event": "namings_learned", "told": [["x", "y"]]}),
        ("f1", 39, {"event": "namings_learned", "told": [5]}),
        ("f1", 40, request()),
    ]
    assert len(explain(tmp_path, lines)) == 3
