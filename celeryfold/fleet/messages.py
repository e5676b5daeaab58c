"""Messages between instances for membership and configuration, and the codec."""

from __future__ import annotations

__all__ = [
    "FLEET_CODEC",
    "CheckSlot",
    "CheckSlotReply",
    "ConfigReply",
    "FetchConfig",
    "FetchState",
    "FleetState",
    "Probe",
    "ProbeFor",
    "ProbeReply",
    "Tell",
]

import msgspec

from ..home.messages import (
    Begin,
    BeginReply,
    CancelKey,
    Finish,
    RunInTransaction,
    RunRead,
    RunWrite,
    StatementAnswer,
    TakeSample,
    TakeSampleReply,
)
from ..kernel.ids import Generation, InstanceId, SlotId
from ..links.codec import MessageCodec
from .members import Member, News


class Probe(msgspec.Struct, frozen=True, array_like=True, tag="probe"):
    """Request to confirm that a peer is alive, with updates for it.

    :param updates: updates for the peer.
    :param digest: hash of the replicated state of the sender.
    :param sender: instance that sends the probe. The reply returns what the peer knows
        about it, so that it can refute an outdated state.
    """

    updates: tuple[News, ...]
    digest: int
    sender: InstanceId


class ProbeReply(msgspec.Struct, frozen=True, array_like=True, tag="probe_reply"):
    """Reply to a probe, with updates for the sender.

    :param updates: updates for the sender of the probe.
    :param digest: hash of the replicated state of the probed instance.
    :param reached: whether an indirect probe reached its target.
    """

    updates: tuple[News, ...]
    digest: int
    reached: bool = True


class ProbeFor(msgspec.Struct, frozen=True, array_like=True, tag="probe_for"):
    """Request to probe a third instance."""

    address: str


class Tell(msgspec.Struct, frozen=True, array_like=True, tag="tell"):
    """Broadcast of new updates, sent without waiting for the next probe."""

    updates: tuple[News, ...]


class FetchState(msgspec.Struct, frozen=True, array_like=True, tag="fetch_state"):
    """Request for the whole state of a peer.

    :param member: description of the requesting instance.
    """

    member: Member


class FleetState(msgspec.Struct, frozen=True, array_like=True, tag="fleet_state"):
    """Reply with the whole state of an instance as updates."""

    updates: tuple[News, ...]


class FetchConfig(msgspec.Struct, frozen=True, array_like=True, tag="fetch_config"):
    """Request for a manifest or a part of a configuration set by its hash."""

    digest: str


class ConfigReply(msgspec.Struct, frozen=True, array_like=True, tag="config"):
    """Reply with a manifest or a part, or None if the peer does not have it."""

    generation: Generation
    content: bytes | None


class CheckSlot(msgspec.Struct, frozen=True, array_like=True, tag="check_slot"):
    """Request to check whether a peer reaches a slot."""

    slot: SlotId


class CheckSlotReply(msgspec.Struct, frozen=True, array_like=True, tag="slot_checked"):
    """Reply whether the slot was reached."""

    reached: bool


Message = (
    Probe
    | ProbeReply
    | ProbeFor
    | Tell
    | FetchState
    | FleetState
    | FetchConfig
    | ConfigReply
    | CheckSlot
    | CheckSlotReply
    | RunRead
    | RunWrite
    | StatementAnswer
    | Begin
    | BeginReply
    | RunInTransaction
    | Finish
    | CancelKey
    | TakeSample
    | TakeSampleReply
)

FLEET_CODEC = MessageCodec(Message)
