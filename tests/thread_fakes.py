"""Threads of gevent's pool that do nothing for a while."""

import contextlib

import gevent
from gevent import monkey


@contextlib.contextmanager
def thread_pool_blocked():
    """Hold every thread of the pool, as if none of them got a processor."""
    lock = monkey.get_original("_thread", "allocate_lock")()
    lock.acquire()

    def hold():
        with lock:
            return

    pool = gevent.get_hub().threadpool
    holders = [pool.spawn(hold) for _ in range(pool.maxsize)]
    try:
        yield
    finally:
        lock.release()
        gevent.joinall(holders)
