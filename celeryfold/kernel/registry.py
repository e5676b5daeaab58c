"""A registry of plug-in classes by name."""

from __future__ import annotations

__all__ = ["Registry"]

from typing import Generic, TypeVar

from ..exceptions import BadInput

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to plug-in classes of one kind.

    :param kind: the kind of plug-in, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, type[T]] = {}

    def add(self, name: str, plugin: type[T]) -> None:
        """Register a plug-in class.

        :raises BadInput: if another class is registered under the name.
        """
        if self._entries.setdefault(name, plugin) is not plugin:
            raise BadInput(f"{self.kind} '{name}' is registered twice; rename one")

    def find(self, name: str) -> type[T]:
        """Return the class registered under a name.

        :raises BadInput: if there is none; the message lists the known names.
        """
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            raise BadInput(f"unknown {self.kind} '{name}'; use one of: {known}")
        return self._entries[name]

    def names(self) -> list[str]:
        """Return all registered names, sorted."""
        return sorted(self._entries)
