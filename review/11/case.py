"""A part of prompts that ends runners as they begin to write is never refused."""

import os
import sys
from pathlib import Path

from gevent import monkey

monkey.patch_all()

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent.parent), str(FOLDER.parent)]

import deadly  # noqa: E402
import kit3  # noqa: E402

# CONTROL=1: the runners end before the first event, as the project expects.
CONTROL = os.environ.get("CONTROL") == "1"


def run(trouble, folder):
    return deadly.run(trouble, folder, writes_first=not CONTROL)


if __name__ == "__main__":
    kit3.main(run, FOLDER)
