"""What an entry tells the daemons beside engines about the wanted weights."""

from types import SimpleNamespace

from briarbeam.catalog import Instance
from briarbeam.kernel.clock import ManualClock
from briarbeam.kernel.network import Address
from briarbeam.platform.store import Record
from briarbeam.relay.entry import EntryRole
from briarbeam.relay.fleet import Fleet, Target

from .relay_fakes import new_versions


def entry_without_state(*models):
    """Return an entry that knows named versions, but no desired state yet."""
    clock = ManualClock()
    role = object.__new__(EntryRole)
    role._in_force = SimpleNamespace(state=None)
    role._settings = SimpleNamespace(bounds=SimpleNamespace(version_within_s=8.0))
    role._fleet = Fleet(clock, dict)
    role._versions = new_versions(clock)
    role._versions.update({m: Record(m, 2, {"model": m, "version": 2}) for m in models})
    return role


def engine(models):
    instance = Instance("i1", "svc", Address("10.0.0.7", 80), "z1", 16, models=models)
    return Target(instance, 0.0)


def test_engine_learns_the_wanted_weights_before_the_desired_state_is_known():
    """After power was back, engines waited for the state before they loaded."""
    fields = entry_without_state("m")._greeting_fields(engine({}))
    assert fields["model"] == "m"
    assert [version for version, *_ in fields["versions"]] == [2]


def test_engine_waits_for_the_desired_state_if_several_models_are_named():
    fields = entry_without_state("m", "n")._greeting_fields(engine({}))
    assert fields == {"model": None, "versions": ()}


def test_plain_service_is_not_greeted_without_a_desired_state():
    assert entry_without_state("m")._greeting_fields(engine(None)) is None
