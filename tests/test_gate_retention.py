"""Claims are deleted after their retention, each kind by one target only."""

from briarbeam.gate.claims import Claim, Claims, claim_kind, claim_kinds, claim_name
from briarbeam.gate.retention import Retention
from briarbeam.kernel.clock import ManualClock
from briarbeam.objects.client import StoredObject

from .test_gate_claims import FakeObjects

DAY_S = 86_400.0
NAMES = ("t1", "t2", "t3")
KEYS = range(60)


class ListingObjects(FakeObjects):
    """A fake object API with a list operation."""

    def __init__(self):
        super().__init__()
        self.lists = 0
        self.before_delete = None

    def list(self, kind):
        self.lists += 1
        names = [name for name in self._records if claim_kind(name) == kind]
        return [self.get(kind, name) for name in names]

    def delete(self, kind, name, if_version=None):
        if self.before_delete is not None:
            self.before_delete(StoredObject(kind, name, if_version, None))
        super().delete(kind, name, if_version)

    def count(self):
        return len(self._records)


def _claim_all(claims):
    for key in KEYS:
        claim = claims.acquire(claim_name("ledger", "a", str(key)), "r", "call", 1e9)
        assert isinstance(claim, Claim)
        claims.finish(claim, {"status": 200})
    assert claims.flush() == 0


def _sweep_all(objects, clock):
    for own_name in NAMES:
        retention = Retention(objects, clock, DAY_S, lambda: set(NAMES), own_name)
        for _ in claim_kinds():
            retention.sweep()


def test_claims_are_deleted_after_their_retention_and_each_kind_is_listed_once():
    objects, clock = ListingObjects(), ManualClock()
    claims = Claims(objects, clock)
    _claim_all(claims)
    clock.advance(DAY_S - 60)
    _sweep_all(objects, clock)
    assert objects.count() == len(KEYS)
    assert objects.lists == 256
    assert claims.acquire(claim_name("ledger", "a", "1"), "r", "call", 1e9) == {
        "status": 200
    }
    clock.advance(120)
    _sweep_all(objects, clock)
    assert objects.count() == 0


def test_claim_rewritten_during_the_sweep_is_kept():
    objects, clock = ListingObjects(), ManualClock()
    _claim_all(Claims(objects, clock))
    clock.advance(DAY_S + 60)

    def rewrite(found):
        objects.put(found.kind, found.name, {"created_unix_s": clock.now().timestamp()})

    objects.before_delete = rewrite
    _sweep_all(objects, clock)
    assert objects.count() == len(KEYS)
