"""The pages and the code name the same settings, metrics and files."""

import re
from pathlib import Path

from briarbeam.settings import keys

ROOT = Path(__file__).parent.parent
DOCS = {path.name: path.read_text() for path in (ROOT / "docs").glob("*.md")}
CODE = "".join(path.read_text() for path in (ROOT / "briarbeam").rglob("*.py"))


def test_each_setting_is_on_the_operators_page():
    named = set(re.findall(r"`([a-z_.]+)`", DOCS["OPERATORS.md"]))
    assert {key for key, _ in keys()} - named == set()


def test_each_metric_on_a_page_exists():
    known = set(re.findall(r'"(briarbeam_[a-z_]+)"', CODE))
    for page, text in DOCS.items():
        named = set(re.findall(r"`(briarbeam_[a-z_]+?)(?:_total)?[`{]", text))
        assert named - known == set(), page


def test_each_page_and_test_that_a_page_names_exists():
    for page, text in DOCS.items():
        for name in re.findall(r"\b[A-Z][A-Z-]+\.md\b", text):
            assert name in DOCS or (ROOT / name).exists(), (page, name)
        for name in re.findall(r"\btests/[\w/]+\.py\b", text):
            assert (ROOT / name).exists(), (page, name)
