"""Chooses the engines that are asked after the first ones had no place for a request.

Load that it answers: a failure domain with more demand than its engines can serve, or
one that lost engines, while others have room. The first engines are drawn at random and
near ones are preferred, so that all of them may be full.
"""

import random

# Engines of other failure domains that are asked in addition. Each costs a datagram and
# the time of an answer, also if all engines are full. On the model with demand of 145,
# 121 and 98 and a third of the largest domain's engines lost, 0, 1 and 2 such
# engines left 0.858, 0.891 and 0.895 of the requests in time.
FAR_ASKED_MAX = 2
# Number of engines with the most room of which one is drawn. If all entries chose the
# same one, they would fill it together.
DRAWN_FROM = 4
# Room below which an engine isn't asked, in slots. If all are full, the caller is refused
# without further questions. Reports are 50 to 200 ms old, in which one slot is filled.
ROOM_MIN = 2.0
# The same where slots are reserved for urgent requests: the reserved ones are free, and
# less urgent requests that ask many engines find one whose reservation is too small. On
# the model of operator A's engines at 1.2 of the capacity, rooms of 2 and 4 left 0.815 and
# 0.841 of the value, and 0.847 without such questions.
RESERVED_ROOM_MIN = 4.0


def choose_far(rooms, room_min=ROOM_MIN):
    """Return the engine to ask, or None if none has room.

    :param rooms: pairs of the free slots and the engine, for each one that can be asked.
    :param room_min: the free slots that an engine has to have.
    """
    open_rooms = [pair for pair in rooms if pair[0] >= room_min]
    if not open_rooms:
        return None
    open_rooms.sort(key=lambda pair: -pair[0])
    best = open_rooms[:DRAWN_FROM]
    return random.choices([engine for _, engine in best], [room for room, _ in best])[0]
