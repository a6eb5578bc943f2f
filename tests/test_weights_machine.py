"""State machine test of version changes while targets fail, stall or corrupt data."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarbeam.weights.manifest import digest_of

from .weights_fakes import World

REGIONS = {"a": 3, "b": 2}
NAMES = [f"{region}-{n}" for region, count in REGIONS.items() for n in range(count)]
CHUNKS = 10
CHUNK_BYTES = 10_000
HEAL_S = 300


class Placement(RuleBasedStateMachine):
    """The newest accepted version reaches every live target, uncorrupted."""

    def __init__(self):
        super().__init__()
        self.world = World(REGIONS)
        self.published = {}
        self.newest = None
        self.accepted = 0
        self.replaced = 0

    @rule(version=st.sampled_from(["v1", "v2", "v3"]))
    def accept(self, version):
        """Accept a version; one that was published before makes it a roll-back."""
        if version not in self.published:
            made = self.world.publish(version, CHUNKS, CHUNK_BYTES, shared=5)
            self.published[version] = made
        self.newest = self.published[version]
        self.accepted += 1
        self.world.fetch_all(self.newest)

    @rule(name=st.sampled_from(NAMES))
    def replace(self, name):
        """Replace a daemon by one with empty memory."""
        node = self.world.nodes[name]
        node.stop()
        node.library.keep_only(())
        self.replaced += 1
        if self.newest:
            node.fetch(self.newest[0], self.newest[1].weights_digest)

    @rule(name=st.sampled_from(NAMES), stalled=st.booleans())
    def stall(self, name, stalled):
        self.world.nodes[name].stalled = stalled

    @rule(name=st.sampled_from(NAMES), corrupts=st.booleans())
    def corrupt(self, name, corrupts):
        self.world.nodes[name].corrupts = corrupts

    @rule(mode=st.sampled_from(["ok", "ok", "down", "dead", "short", "corrupt"]))
    def origin(self, mode):
        self.world.origin_mode = mode

    @rule(duration_s=st.sampled_from([0.2, 1.0, 5.0]))
    def wait(self, duration_s):
        self.world.clock.run(lambda: False, duration_s)

    @invariant()
    def nothing_unverified_is_held(self):
        for node in self.world.nodes.values():
            for digest in list(node.store.digests()):
                assert digest_of(node.store.get(digest)) == digest

    @invariant()
    def complete_means_all_chunks_are_held(self):
        for digest, manifest in self.published.values():
            for node in self.world.nodes.values():
                if node.library.is_complete(digest):
                    held = [chunk.digest in node.store for chunk in manifest.chunks]
                    assert all(held)

    def teardown(self):
        """Check that the newest version arrives after all faults end, with few draws."""
        if self.newest is None:
            return
        world = self.world
        world.origin_mode = "ok"
        for node in world.nodes.values():
            node.stalled = node.corrupts = False
        before_bytes = world.origin_bytes
        done = world.clock.run(lambda: world.all_hold(self.newest), HEAL_S)
        world.stop()
        assert done
        copy_bytes = CHUNKS * CHUNK_BYTES
        assert world.origin_bytes - before_bytes <= 2 * len(REGIONS) * copy_bytes


TestPlacement = Placement.TestCase
TestPlacement.settings = settings(max_examples=60, stateful_step_count=20)
