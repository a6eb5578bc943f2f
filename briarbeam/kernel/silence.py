"""Gives up calls whose connections have probably fallen silent with another one."""

import gevent
import structlog

from .errors import ExchangeError

_log = structlog.get_logger()


class SilenceDetector:
    """A `Network` for calls to one peer, of which some may wait for long.

    A connection that has fallen silent shows only by a time-out. If a call times out,
    and one that was sent afterwards, thus on another connection, is answered, the peer
    works and connections to it have fallen silent. Then the calls that were sent before
    the time-out and still wait for the head of a reply fail with an `ExchangeError`.

    :param network: the `Network` to send with. After a time-out, it reuses no
        connection that was idle then.
    """

    def __init__(self, network):
        self._network = network
        # The greenlets that wait for the head of a reply, by the number of the call.
        self._waiting = {}
        self._sent_count = 0
        # The number of the last call that was sent before the latest time-out.
        self._suspected_until = 0

    def send(self, address, request):
        self._sent_count += 1
        number = self._sent_count
        self._waiting[number] = gevent.getcurrent()
        try:
            response = self._network.send(address, request)
        except ExchangeError as error:
            if isinstance(error.__cause__, gevent.Timeout):
                self._suspected_until = self._sent_count
            raise
        finally:
            del self._waiting[number]
        if number > self._suspected_until:
            self._give_up_suspected(address)
        return response

    def _give_up_suspected(self, address):
        suspected = [n for n in self._waiting if n <= self._suspected_until]
        self._suspected_until = 0
        for number in suspected:
            _log.info("silent_call_given_up", peer=str(address))
            gevent.get_hub().loop.run_callback(self._give_up, number, address)

    def _give_up(self, number, address):
        task = self._waiting.get(number)
        if task is not None:
            task.throw(ExchangeError(f"connections to {address} have fallen silent"))
