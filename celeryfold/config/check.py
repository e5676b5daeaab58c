"""Validation of object sets; reports every error and warning, not only the first."""

from __future__ import annotations

__all__ = ["CheckReport", "check_objects", "describe_errors", "load_objects"]

import json
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pydantic import ValidationError
from returns.result import Failure, Result, Success

from ..drivers.slot import SLOT_DRIVERS, Slot
from ..kernel.registry import Registry
from .objects import ConfirmScope, ObjectSet, Service, UpstreamGroup

SECTIONS = ("places", "read_rules", "upstream_groups", "services")
MAX_SET_BYTES = 8_000_000


@dataclass
class CheckReport:
    """The result of a check.

    :param errors: problems that prevent the input from being used, a line each.
    :param warnings: valid input that is probably a mistake, a line each.
    """

    errors: list[str] = field(default_factory=list)
    warnings: list[str] = field(default_factory=list)


def describe_errors(source: str, error: ValidationError) -> list[str]:
    """Return one line for each invalid field: source, path of the field and fix.

    :param source: the file or folder that was validated.
    """
    lines = []
    for detail in error.errors():
        path = ".".join(str(part) for part in detail["loc"]) or "(top level)"
        if detail["type"] == "extra_forbidden":
            text = "unknown key; remove it or correct its spelling"
        elif detail["type"] == "missing":
            text = "missing; add it"
        else:
            text = f"{detail['msg']}; got {detail['input']!r:.60}"
        lines.append(f"{source}: {path}: {text}")
    return lines


def load_objects(folder: Path) -> Result[ObjectSet, CheckReport]:
    """Merge the ``*.json`` files of a folder into one object set and check it."""
    report = CheckReport()
    merged: dict[str, list[Any]] = {section: [] for section in SECTIONS}
    files = sorted(folder.glob("*.json"))
    if not files:
        report.errors.append(f"{folder}: no *.json file; add the object files to it")
    for file in files:
        _read_file(file, merged, report)
    if report.errors:
        return Failure(report)
    try:
        objects = ObjectSet.model_validate(merged)
    except ValidationError as error:
        report.errors.extend(describe_errors(str(folder), error))
        return Failure(report)
    found = check_objects(objects, str(folder))
    return Failure(found) if found.errors else Success(objects)


def _read_file(file: Path, merged: dict[str, list[Any]], report: CheckReport) -> None:
    try:
        content = json.loads(file.read_bytes())
    except (OSError, ValueError) as error:
        report.errors.append(f"{file}: cannot be read as JSON: {error}")
        return
    if not isinstance(content, dict):
        report.errors.append(f"{file}: (top level): must be a JSON object of sections")
        return
    for section, items in content.items():
        if section not in SECTIONS:
            known = ", ".join(SECTIONS)
            report.errors.append(f"{file}: {section}: unknown key; use one of {known}")
        elif not isinstance(items, list):
            report.errors.append(f"{file}: {section}: must be a list of objects")
        else:
            merged[section].extend(items)


def check_objects(
    objects: ObjectSet,
    source: str = "object set",
    drivers: Registry[Slot] = SLOT_DRIVERS,
) -> CheckReport:
    """Check that names are unique, references resolve and the size is within bounds.

    :param source: named at the start of each line, usually the folder.
    :param drivers: the slot drivers that the objects may name.
    """
    report = CheckReport()
    _check_unique_names(objects, source, report)
    for group in objects.upstream_groups:
        _check_group(group, objects, drivers, source, report)
    for service in objects.services:
        _check_service(service, objects, source, report)
    n_bytes = len(objects.model_dump_json())
    if n_bytes > MAX_SET_BYTES:
        text = f"the set takes {n_bytes} bytes; reduce it to {MAX_SET_BYTES} or less"
        report.errors.append(f"{source}: {text}")
    return report


def _check_group(
    group: UpstreamGroup,
    objects: ObjectSet,
    drivers: Registry[Slot],
    source: str,
    report: CheckReport,
) -> None:
    places = {place.name: place.region for place in objects.places}
    prefix = f"{source}: upstream_groups.{group.name}"
    for slot in group.slots:
        if slot.place not in places:
            text = f"place '{slot.place}' is not defined; add it to places"
            report.errors.append(f"{prefix}.{slot.name}: {text}")
        if slot.driver not in drivers.names():
            known = ", ".join(drivers.names())
            text = f"driver '{slot.driver}' is unknown; use one of {known}"
            report.errors.append(f"{prefix}.{slot.name}: {text}")
    regions = {places.get(slot.place) for slot in group.slots}
    if group.confirm is ConfirmScope.ALL and len(regions) > 1:
        text = "each write waits for a confirmation from another region"
        report.warnings.append(f"{prefix}: {text}")
    if not any(group.name in service.upstream_groups for service in objects.services):
        report.warnings.append(f"{prefix}: no service uses this group")


def _check_service(
    service: Service, objects: ObjectSet, source: str, report: CheckReport
) -> None:
    prefix = f"{source}: services.{service.name}"
    if all(rule.name != service.read_rule for rule in objects.read_rules):
        text = f"read rule '{service.read_rule}' is not defined; add it to read_rules"
        report.errors.append(f"{prefix}: {text}")
    defined = {group.name for group in objects.upstream_groups}
    for name in service.upstream_groups:
        if name not in defined:
            text = f"upstream group '{name}' is not defined; add it"
            report.errors.append(f"{prefix}: {text}")


def _check_unique_names(objects: ObjectSet, source: str, report: CheckReport) -> None:
    slots = [slot.name for group in objects.upstream_groups for slot in group.slots]
    named: dict[str, list[str]] = {
        "places": [str(place.name) for place in objects.places],
        "read_rules": [rule.name for rule in objects.read_rules],
        "upstream_groups": [str(group.name) for group in objects.upstream_groups],
        "services": [str(service.name) for service in objects.services],
        "slots": [str(name) for name in slots],
    }
    for section, names in named.items():
        for name, n_uses in Counter(names).items():
            if n_uses > 1:
                text = f"the name is used {n_uses} times; rename all but one"
                report.errors.append(f"{source}: {section}.{name}: {text}")
