"""Blocks the threads of gevent's pool."""

import contextlib

import gevent
from gevent import monkey


@contextlib.contextmanager
def thread_pool_blocked():
    """Block every thread of the pool, as if none of them got processor time."""
    lock = monkey.get_original("_thread", "allocate_lock")()
    lock.acquire()

    def block():
        with lock:
            return

    pool = gevent.get_hub().threadpool
    blockers = [pool.spawn(block) for _ in range(pool.maxsize)]
    try:
        yield
    finally:
        lock.release()
        gevent.joinall(blockers)
