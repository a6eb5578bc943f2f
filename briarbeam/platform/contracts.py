"""What the platform's contracts, which its settings list, call for."""

_COMPETING_CALLERS = "pressure"


def has_load_control(contracts):
    """Return whether callers compete for engines that can't serve all of them.

    :param contracts: the names of the contracts in force.
    """
    return _COMPETING_CALLERS in contracts
