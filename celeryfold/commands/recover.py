"""The command ``recover``: appoint a primary at the cost of acknowledged writes."""

from __future__ import annotations

__all__ = ["run"]

import click
import msgspec
import trio

from ..config.objects import Catalog
from ..config.publishing import load_current
from ..drivers.http_slot import HttpSlot
from ..drivers.http_store import HttpStore
from ..drivers.ordered_store import OrderedStore
from ..drivers.slot import SlotUnreachable
from ..drivers.store import StoreConflict, StoreUnavailable
from ..exceptions import BadInput
from ..groups.record import GroupRecord
from ..groups.record_cache import KEY_PREFIX
from ..groups.recovery import describe_loss, propose_recovery
from ..kernel.decoding import decode_json
from ..kernel.ids import GroupId, SlotId


async def _recover(
    group: GroupId, slot: SlotId, address: str, accept_loss: bool
) -> int:
    store = OrderedStore(HttpStore(address))
    try:
        entry = await store.get(KEY_PREFIX + group)
        objects = await load_current(store)
    except StoreUnavailable as error:
        raise BadInput(f"--store {address}: {error}; check the address") from error
    if entry is None or objects is None:
        raise BadInput(
            f"{group}: the store has no record of it or no object set; check the name"
        )
    definition = Catalog(objects).slots.get(slot)
    if definition is None:
        raise BadInput(f"--slot {slot}: not defined; check the name")
    record = decode_json(entry.value, GroupRecord)
    try:
        status = await HttpSlot(slot, definition.address).fetch_status()
    except SlotUnreachable as error:
        raise BadInput(f"--slot {slot}: {error}; choose one that answers") from error
    loss = describe_loss(record, slot, status)
    click.echo(loss.text)
    if not loss.is_needed:
        return 0
    if not accept_loss:
        click.echo("nothing was changed; give --give-up to go on")
        return 1
    value = msgspec.json.encode(propose_recovery(record, slot, status))
    try:
        await store.compare_and_swap(entry.key, entry.revision, value)
    except StoreConflict:
        click.echo("the record has changed meanwhile; look again", err=True)
        return 1
    except StoreUnavailable:
        click.echo("the outcome is not known; run status", err=True)
        return 1
    click.echo(
        f"{slot} is recorded as primary of {group}; its guardian will promote it"
    )
    return 0


def run(group: str, slot: str, store: str, accept_loss: bool) -> int:
    """Make a slot primary although acknowledged writes may be lost.

    :param store: the address of the store.
    :param accept_loss: False only prints what would be lost.
    :returns: the exit code: 0 if the record was changed or nothing would be lost,
        else 1.
    :raises BadInput: if an address does not answer or a name is unknown.
    """
    return trio.run(_recover, GroupId(group), SlotId(slot), store, accept_loss)
