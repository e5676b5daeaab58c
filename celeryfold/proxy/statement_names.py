"""Names of prepared statements that sessions share on pooled connections."""

from __future__ import annotations

__all__ = ["make_statement_name"]

import xxhash

from .statements import Prepare


def make_statement_name(prepared: Prepare) -> str:
    """Return the name under which a statement is prepared on pooled connections.

    Names chosen by clients collide, so the name is derived from the statement: equal
    statements have the same name in all sessions.
    """
    text = f"{prepared.access.value} {prepared.shape}"
    return f"p{xxhash.xxh128_hexdigest(text.encode('utf-8', 'surrogateescape'))}"
