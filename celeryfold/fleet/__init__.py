"""Membership of instances by gossip, replicated state and placement of work."""

from __future__ import annotations

__all__ = ["Member", "MemberState", "Membership", "PeerLink", "PeerUnreachable"]

from ..links.link import PeerLink, PeerUnreachable
from .members import Member, MemberState
from .membership import Membership
