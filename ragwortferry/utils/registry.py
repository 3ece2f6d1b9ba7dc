"""Registries of named implementations, filled by decorators."""

__all__ = ["Registry"]

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Mapping of names to implementations of one kind.

    :param kind: the kind of implementation, used in error messages.

    >>> shapes = Registry("shape")
    >>> @shapes.register("dot")
    ... def dot():
    ...     return "."
    >>> shapes.get("dot")()
    '.'
    """

    def __init__(self, kind: str):
        self._kind = kind
        self._items: dict[str, T] = {}

    @property
    def names(self) -> list[str]:
        """Return the registered names in alphabetical order."""
        return sorted(self._items)

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under ``name``."""

        def decorate(item: T) -> T:
            if name in self._items:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._items[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Return the implementation called ``name``.

        :raises KeyError: if the name is not registered.
        """
        if name not in self._items:
            known = ", ".join(self.names)
            raise KeyError(f"{self._kind} {name!r} is not one of: {known}")
        return self._items[name]
