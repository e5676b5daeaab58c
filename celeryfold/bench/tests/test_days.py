"""The table of days shows each reason for which a day counts for nothing."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from celeryfold.bench.days import list_rows
from celeryfold.platform.journals import load_journal

DAY = {"name": "trouble-1", "G": 0.826, "parts": [], "prices": []}
TOO_SLOW = "too slow: the day took more than 852 s of processor time"


@pytest.mark.parametrize(
    ("change", "shown"),
    [
        ({}, "kept"),
        ({"fault": None}, "kept"),
        ({"fault": TOO_SLOW}, f"fault: {TOO_SLOW}"),
        ({"rules": {"STALE": 1, "DRAIN": 2}}, "DRAIN STALE"),
        ({"rules": {"STALE": 1}, "fault": TOO_SLOW}, f"STALE; fault: {TOO_SLOW}"),
    ],
)
def test_rules_and_faults_of_a_day_are_shown(tmp_path: Path, change, shown):
    file = tmp_path / "entry.json"
    file.write_text(json.dumps({"site": "large", "days": [{**DAY, **change}]}))
    [row] = list_rows(load_journal(file))
    assert row[-1] == shown
