"""A registry in which plug-ins enter themselves by kind and name."""

from __future__ import annotations

__all__ = ["Registry"]

from typing import Generic, TypeVar

from ..exceptions import BadInput

T = TypeVar("T")


class Registry(Generic[T]):
    """Map names to plug-in classes of one kind.

    :param kind: what the entries are, for messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, type[T]] = {}

    def add(self, name: str, plugin: type[T]) -> None:
        """Enter a plug-in class.

        :raises BadInput: where the name is taken by another class.
        """
        if self._entries.setdefault(name, plugin) is not plugin:
            raise BadInput(f"{self.kind} '{name}' is registered twice; rename one")

    def find(self, name: str) -> type[T]:
        """Return the class entered under a name.

        :raises BadInput: where there is none.
        """
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            raise BadInput(f"unknown {self.kind} '{name}'; use one of: {known}")
        return self._entries[name]

    def names(self) -> list[str]:
        """Return all names in order."""
        return sorted(self._entries)
