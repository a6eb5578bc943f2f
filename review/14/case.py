"""A part of prompts that ends runners is never refused if 16 others come before it."""

import os
import sys
from pathlib import Path

from gevent import monkey

monkey.patch_all()

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent.parent), str(FOLDER.parent)]

import deadly  # noqa: E402
import kit3  # noqa: E402

# CONTROL=1: one part less comes before it, so that it is the 16th.
CONTROL = os.environ.get("CONTROL") == "1"


def _parts():
    return tuple(f"a0{number:06x}" for number in range(14 if CONTROL else 16))


def run(trouble, folder):
    return deadly.run(trouble, folder, writes_first=False, before=_parts())


if __name__ == "__main__":
    kit3.main(run, FOLDER)
