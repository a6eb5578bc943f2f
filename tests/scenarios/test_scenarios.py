"""Each rule of "What must always hold", as a scenario with real processes."""

from pytest_bdd import scenarios

scenarios(".")
