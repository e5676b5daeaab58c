"""Messages and entries of the platform are decoded, or rejected if they are malformed.

A malformed store entry must not yield an upstream for the proxy to connect to.
"""

from __future__ import annotations

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryfold.exceptions import BadInput
from celeryfold.kernel.errors import ErrorKind
from celeryfold.kernel.ids import Position, Term, UpstreamId
from celeryfold.platform.entries import PlatformEntryDecoder
from celeryfold.platform.protocol import (
    decode_position,
    decode_query,
    decode_status,
    encode_error,
    encode_request,
    find_error_kind,
)
from celeryfold.platform.settings import load_platform_settings
from celeryfold.proxy.positions import LogPosition
from celeryfold.proxy.routes import Consistency
from celeryfold.proxy.statements import (
    Access,
    Begin,
    Commit,
    Deallocate,
    Execute,
    Pause,
    Prepare,
    Read,
    Request,
    Rollback,
    SetValue,
    Write,
)
from celeryfold.proxy.upstream import UpstreamError, UpstreamRole

DECODER = PlatformEntryDecoder()
WORD = st.text(st.characters(codec="ascii", exclude_characters=" ", min_codepoint=33))
WORD = WORD.filter(bool)
ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "muscat-a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_ms": 0,
    "db_role": "replica",
    "seq_no": 4,
    "born": 1767357649162,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "fiti832ti23",
            "prefix": "/",
            "type": "read_your_writes",
            "timeout_ms": 800,
            "target_latency_ms": 1500,
            "priority": 2,
            "service": "huvo11a",
            "attempts": 2,
            "max_staleness_ms": 2500,
        }
    ],
    "services": [{"name": "huvo11a", "max_conns": 16, "sync_replicas": 1}],
    "limits": {"tx_idle_ms": 2000, "idle_ms": 15000},
}


def make_statements():
    pairs = st.tuples(WORD, WORD)
    return st.one_of(
        st.sampled_from([Begin(), Begin(read_only=True), Commit(), Rollback()]),
        WORD.map(Read),
        pairs.map(lambda p: Write(f"{p[0]} {p[1]}")),
        pairs.map(lambda p: SetValue(*p)),
        pairs.map(lambda p: Prepare(p[0], Access.WRITE, p[1])),
        pairs.map(lambda p: Execute(*p)),
        WORD.map(Deallocate),
    )


@given(make_statements(), WORD)
def test_statements_reach_databases_with_their_text_unchanged(statement, request_id):
    line = encode_request(Request(statement, request_id))
    word, sent_id, text = line.split(" ", 2)
    assert (word, sent_id) == ("QUERY", request_id)
    assert decode_query(text) == statement


@given(st.text(max_size=60))
def test_any_text_is_a_statement_or_a_clear_error(text):
    try:
        statement = decode_query(text)
    except BadInput:
        return
    assert encode_request(Request(statement)) == f"QUERY - {text}"


@pytest.mark.parametrize("bad", ["READ a\nWRITE b 1", "READ a\rX", "READ a\x00"])
def test_statements_with_control_characters_are_rejected(bad):
    """A line break inside a statement would reach the database as a second message."""
    with pytest.raises(BadInput, match="control characters"):
        decode_query(bad)


def test_a_needed_position_goes_before_the_statement():
    since = LogPosition(Term(3), Position(1207))
    line = encode_request(Request(Read("1a4"), msgspec.UNSET, since))
    assert line.endswith(" SINCE 3.1207 READ 1a4")
    assert encode_request(Request(Pause(Term(4)))) == "QUERY - PAUSE 4"


def test_positions_and_status_rows():
    assert decode_position("-") is None
    status = decode_status("replica 3 3.1209 5 12 2 17")
    assert status.role is UpstreamRole.REPLICA
    assert status.term == 3
    assert status.received == LogPosition(Term(3), Position(1209))
    assert status.held_term == 5
    for row in ("", "replica", "king 3 3.1 0 0 0 0", "replica x 3.1 0 0 0 0"):
        with pytest.raises((ValueError, KeyError)):
            decode_status(row)


def test_every_error_kind_has_a_code_and_unknown_outcomes_stay_unknown():
    """A definite code for an unknown outcome would state that nothing took effect."""
    definite_codes = (
        "BUSY",
        "ABORTED",
        "LAGGING",
        "READONLY",
        "WRONGNODE",
        "TOOMANYCON",
    )
    unknown_kinds = {ErrorKind.OUTCOME_UNKNOWN, ErrorKind.TIMED_OUT, ErrorKind.INTERNAL}
    for kind in ErrorKind:
        line = encode_error(UpstreamError(kind, "two\r\nlines"))
        assert "\r" not in line
        assert "\n" not in line
        if kind in unknown_kinds:
            assert line.split(" ")[1] not in definite_codes
    assert find_error_kind("NEVERHEARD") is ErrorKind.OUTCOME_UNKNOWN


def test_an_entry_is_decoded():
    upstream = DECODER.decode_upstream(UpstreamId("i-1"), msgspec.json.encode(ENTRY))
    assert upstream is not None
    assert upstream.claimed_role is UpstreamRole.REPLICA
    assert not upstream.is_leaving
    draining = {**ENTRY, "state": "draining", "db_role": "king"}
    upstream = DECODER.decode_upstream(UpstreamId("i-1"), msgspec.json.encode(draining))
    assert upstream is not None
    assert upstream.is_leaving
    assert upstream.claimed_role is None


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=4), inner, max_size=2)
    ),
    max_leaves=3,
)


@given(st.sampled_from(["service", "address", "zone", "state", "slots"]), JSON)
def test_malformed_entry_fields_are_ignored(field, value):
    entry = msgspec.json.encode({**ENTRY, field: value})
    upstream = DECODER.decode_upstream(UpstreamId("i-1"), entry)
    assert upstream is None or isinstance(value, int | str)
    incomplete = {name: v for name, v in ENTRY.items() if name != field}
    entry = msgspec.json.encode(incomplete)
    assert DECODER.decode_upstream(UpstreamId("i-1"), entry) is None


@given(st.binary(max_size=60))
def test_unreadable_entries_are_ignored(value):
    assert DECODER.decode_upstream(UpstreamId("i-1"), value) is None


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:" + "9" * 5000},
        {"address": "10.0.0.1:\u00b2"},
        {"address": "10.0.0.1"},
        {"address": "h\u0000x:1"},
        {"address": "-1:80"},
        {"address": "database.example:80"},
        {"service": "a b"},
        {"service": "a\r\nQUERY x WRITE"},
        {"zone": ""},
        {"born": 10**30},
        {"born": -1},
        {"slots": 10**25},
    ],
)
def test_an_entry_that_cannot_be_used_is_left_out(change):
    """Such an address raised an error of the socket and ended each instance."""
    value = json.dumps({**ENTRY, **change}).encode()
    assert DECODER.decode_upstream(UpstreamId("i-1"), value) is None


def test_an_entry_under_a_name_with_blanks_is_left_out():
    value = msgspec.json.encode(ENTRY)
    assert DECODER.decode_upstream(UpstreamId("i-1 x"), value) is None
    assert DECODER.decode_upstream(UpstreamId("i-1"), value) is not None


def test_a_configuration_is_decoded():
    table = DECODER.decode_table(msgspec.json.encode(CONFIG))
    route = table.routes["fiti832ti23"]
    assert route.consistency is Consistency.OWN_WRITES
    assert route.max_staleness_s == 2.5
    assert route.statement_timeout_s == 0.8
    assert route.target_s == 1.5
    assert table.transaction_idle_s == 2.0
    assert table.services["huvo11a"].n_connections == 16


@pytest.mark.parametrize("value", [b"", b"{}", b"\xff", b'{"version": "x"}'])
def test_an_unreadable_configuration_is_an_error(value):
    with pytest.raises(BadInput, match="op/config"):
        DECODER.decode_table(value)


def test_settings_errors_name_the_file_and_all_fields(tmp_path):
    path = tmp_path / "settings.json"
    settings = {
        "instance": "a",
        "data_centre": "nowhere",
        "regions": {"here": "r"},
        "clients": "1.2.3.4:80",
        "probes": "nonsense",
        "peers": "1.2.3.4:82",
        "seeds": ["x"],
        "store": "1.2.3.4:83",
        "promotions": "1.2.3.4:84",
        "grace_s": -1,
    }
    path.write_bytes(msgspec.json.encode(settings))
    with pytest.raises(BadInput) as caught:
        load_platform_settings(path)
    text = str(caught.value)
    for field in ("probes", "seeds[0]", "data_centre", "grace_s"):
        assert f"{path}: {field}" in text
    path.write_text("{")
    with pytest.raises(BadInput, match=str(path)):
        load_platform_settings(path)
    with pytest.raises(BadInput, match="exists"):
        load_platform_settings(tmp_path / "absent")
