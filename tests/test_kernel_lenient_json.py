"""JSON with unreadable parts: what is kept of it, and how long that takes."""

import contextlib
import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarbeam.kernel.lenient_json import DEPTH_MAX, is_readable, parse_leniently

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False)
    | st.text(alphabet='a"\\[]{},: \n'),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(
        alphabet='a"\\[]{}', max_size=4), inner, max_size=3),
    max_leaves=12,
)  # fmt: skip
ODD_TEXTS = [
    "[" * 5000 + "]" * 5000, '{"[":' * 5000 + "1" + "}" * 5000, "9" * 5000, "1e999",
    '[{"a":[' * 2000 + '"]"' + "]}]" * 2000, "NaN", "-Infinity",
]  # fmt: skip


@given(values)
def test_readable_values_are_decoded_as_by_json(value):
    text = json.dumps(value)
    assert parse_leniently(text.encode()) == value
    assert is_readable(value)


@given(values, st.sampled_from(ODD_TEXTS), values)
def test_values_around_an_unreadable_one_are_kept(before, odd, after):
    odd_text = f'{{"x":[{json.dumps(before)},{odd}]}}'
    text = f"[{json.dumps(before)},{odd_text},{json.dumps(after)}]"
    decoded = parse_leniently(text.encode())
    assert decoded[0] == before and decoded[2] == after
    assert decoded[1]["x"][0] == before
    if odd not in ("1e999", "NaN", "-Infinity"):
        assert not is_readable(decoded[1])


@pytest.mark.parametrize("depth", range(DEPTH_MAX - 2, DEPTH_MAX + 12))
@pytest.mark.parametrize("large", ["1", "9" * 5000])
def test_depth_decides_alike_whichever_way_a_text_is_decoded(depth, large):
    text = "[" + "[" * depth + "]" * depth + f",{large}]"
    decoded = parse_leniently(text.encode())
    assert is_readable(decoded[0]) == (depth <= DEPTH_MAX)


@pytest.mark.parametrize(
    "text", ["[" * 5000, "]" * 5000, "[" * 5000 + "]" * 4999, '["' + "a" * 5000, "", "x",
             "[" * 5000 + "}" * 5000 + "]"],
)  # fmt: skip
def test_text_that_is_no_json_is_a_value_error(text):
    with pytest.raises(ValueError):
        parse_leniently(text.encode())


@pytest.mark.parametrize(
    "text",
    ["[" * 500_000 + "]" * 500_000, '{"a":' * 170_000 + "1" + "}" * 170_000,
     '"' + '\\"' * 500_000, "[" * 5000 + '"' * 500_001, "9" * 1_000_000,
     "[1," * 300_000 + "1" + "]" * 300_000],
    ids=lambda text: text[:9],
)  # fmt: skip
def test_time_grows_with_the_size_only(text):
    """A record has a megabyte at most. Quadratic time would be minutes."""
    started_s = time.monotonic()
    with contextlib.suppress(ValueError):
        parse_leniently(text.encode())
    assert time.monotonic() - started_s < 2.0
