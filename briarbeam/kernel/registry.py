"""Registries of named implementations, filled by decorators."""

from .errors import SettingsError


class Registry:
    """A mapping from names to implementations of one kind.

    :param kind: the kind of the registered items, for error messages.
    """

    def __init__(self, kind):
        self.kind = kind
        self._items = {}

    def register(self, name):
        """Return a decorator that registers its argument under `name`.

        :raises SettingsError: by the decorator, if `name` is already registered.
        """

        def decorate(item):
            if name in self._items:
                raise SettingsError(f"{self.kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return decorate

    def get(self, name):
        """Return the item called `name`.

        :raises SettingsError: if there is no such item.
        """
        try:
            return self._items[name]
        except KeyError:
            known = ", ".join(sorted(self._items))
            raise SettingsError(
                f"no {self.kind} is called {name!r}; known: {known}"
            ) from None

    def names(self):
        """Return the registered names, sorted."""
        return sorted(self._items)

    def items(self):
        """Return pairs of name and item in order of registration."""
        return list(self._items.items())
