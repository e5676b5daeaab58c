"""The adapter to the users' platform: decodes what it says into the project's types."""

from __future__ import annotations
