"""The documentation and the code agree on settings, metrics, events and files."""

import ast
import re
from pathlib import Path

from briarbeam.node_settings import CallerInputSettings
from briarbeam.settings import keys

ROOT = Path(__file__).parent.parent
DOCS = {path.name: path.read_text() for path in (ROOT / "docs").glob("*.md")}
CODE = "".join(path.read_text() for path in (ROOT / "briarbeam").rglob("*.py"))
NODE_PARTS = (
    "relay", "distribution", "platform", "telemetry", "node.py",
    "kernel/connections.py", "kernel/silence.py",
)  # fmt: skip
LEVELS = {"debug", "info", "warning", "error", "exception"}


def node_files():
    """Yield the files of `NODE_PARTS`."""
    for part in NODE_PARTS:
        path = ROOT / "briarbeam" / part
        yield from [path] if path.is_file() else path.rglob("*.py")


def logged_events():
    """Return the fields of each event that `briarbeam.node` logs, by event."""
    # Written as bytes by `briarbeam.telemetry.decisions`, not through a logger.
    events = {"lines_dropped": {"count"}}
    for file in node_files():
        for node in ast.walk(ast.parse(file.read_text())):
            if _is_log_call(node):
                event = ast.literal_eval(node.args[0])
                fields = {word.arg for word in node.keywords}
                events.setdefault(event, set()).update(fields)
    events["request"] |= _fields_added_to_requests()
    return events


def _is_log_call(node):
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in LEVELS
        and ast.unparse(node.func.value) in ("_log", "self._log")
    )


def _fields_added_to_requests():
    tree = ast.parse((ROOT / "briarbeam/telemetry/request_log.py").read_text())
    fields = {"omitted_before"}
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and ast.unparse(node.func) == "fields.update":
            fields |= {word.arg for word in node.keywords}
    return fields


def event_rows():
    """Return the events and the fields of each row in the table of log lines."""
    section = DOCS["OPERATIONS.md"].split("## Lines")[1].split("\n## ")[0]
    rows = [line.split("|") for line in section.splitlines() if line.startswith("| `")]
    return [
        (set(re.findall(r"`(\w+)`", row[1])), set(re.findall(r"`(\w+)`", row[3])))
        for row in rows
    ]


def test_each_setting_is_documented_for_operators():
    named = set(re.findall(r"`([a-z_.]+)`", DOCS["OPERATORS.md"]))
    assert {key for key, _ in keys()} - named == set()


def test_each_limit_on_callers_is_documented_with_its_default():
    rows = dict(
        re.findall(r"\| `caller_input\.(\w+)` \| (\S+) \|", DOCS["OPERATORS.md"])
    )
    defaults = CallerInputSettings().model_dump()
    assert rows == {key: str(value) for key, value in defaults.items()}


def test_each_metric_on_a_page_exists():
    known = set(re.findall(r'"(briarbeam_[a-z_]+)"', CODE))
    for page, text in DOCS.items():
        named = set(re.findall(r"`(briarbeam_[a-z_]+?)(?:_total)?[`{]", text))
        assert named - known == set(), page


def test_each_page_and_test_file_named_on_a_page_exists():
    for page, text in DOCS.items():
        for name in re.findall(r"\b[A-Z][A-Z-]+\.md\b", text):
            assert name in DOCS or (ROOT / name).exists(), (page, name)
        for name in re.findall(r"\btests/[\w/]+\.py\b", text):
            assert (ROOT / name).exists(), (page, name)


def test_operations_page_lists_exactly_the_logged_events():
    named = set().union(*(events for events, _ in event_rows()))
    assert named == set(logged_events())


def test_each_field_on_the_operations_page_belongs_to_its_event():
    logged = logged_events()
    for events, fields in event_rows():
        known = set().union(*(logged.get(event, set()) for event in events))
        assert fields - known == set(), events


def test_each_metric_of_a_node_is_on_the_operations_page():
    text = "".join(file.read_text() for file in node_files())
    exposed = set(re.findall(r'"(briarbeam_[a-z_]+)"', text))
    named = set(re.findall(r"`(briarbeam_[a-z_]+)`", DOCS["OPERATIONS.md"]))
    assert exposed - named == set()
