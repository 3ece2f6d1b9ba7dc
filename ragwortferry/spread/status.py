"""Rollout status of versions: reports within a zone and summaries between zones."""

__all__ = ["FleetStatus", "StatusTable", "ZoneSummaries"]

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from msgspec import Struct

from ragwortferry.spread.members import Members
from ragwortferry.spread.messages import (
    FleetReport,
    StatusGroup,
    SubtreeReport,
    ZoneSummary,
)
from ragwortferry.spread.store import VersionStore
from ragwortferry.utils.clock import HybridClock
from ragwortferry.utils.digests import instance_key

KEY_BYTES = 8
MAX_LISTED_NAMES = 10
MAX_SUMMARY_AGE_S = 30.0

ENFORCED = "enforced"
UNPROVEN = "enforced-unproven"
REFUSED = "refused"
STARTING = "starting"


@dataclass(slots=True)
class _ChildReport:
    """Report of a child and when it was received."""

    groups: list[StatusGroup]
    received_at: float


class StatusTable:
    """Merges the state of this process with the reports of its children.

    :param now: monotonic clock in seconds.
    """

    def __init__(
        self,
        members: Members,
        store: VersionStore,
        now: Callable[[], float] = time.monotonic,
    ):
        self._members = members
        self._store = store
        self._now = now
        self._child_reports: dict[int, _ChildReport] = {}

    def update(self, peer_id: int, report: SubtreeReport) -> bool:
        """Replace the report of a child, and return whether more than ages changed."""
        old = self._child_reports.get(peer_id)
        self._child_reports[peer_id] = _ChildReport(report.groups, self._now())
        return old is None or _without_ages(old.groups) != _without_ages(report.groups)

    def remove(self, peer_id: int) -> None:
        """Remove the report of a former child."""
        self._child_reports.pop(peer_id, None)

    def _own_groups(self) -> list[StatusGroup]:
        """Return the group of this process, and one for its refusal if there is one."""
        key = instance_key(self._members.me.id).to_bytes(KEY_BYTES, "big")
        version = self._store.current.version
        proven = ENFORCED if self._store.floor_proven else UNPROVEN
        state = proven if version else STARTING
        groups = [StatusGroup(version, state, "", key, 0)]
        refusal = self._store.refusal
        if refusal:
            refused = refusal.version_id.version
            groups.append(StatusGroup(refused, REFUSED, refusal.reason, key, 0))
        return groups

    def report(self) -> SubtreeReport:
        """Return the state of this process and all its descendants."""
        merged: dict[tuple[int, str, str], tuple[set[bytes], int]] = {}
        for group, extra_ms in self._all_groups():
            keys, age = merged.get((group.version, group.state, group.reason)) or (
                set(),
                0,
            )
            keys |= set(_split_keys(group.keys))
            age = max(age, group.age_ms + extra_ms)
            merged[group.version, group.state, group.reason] = keys, age
        return SubtreeReport(
            [
                StatusGroup(version, state, reason, b"".join(sorted(keys)), age)
                for (version, state, reason), (keys, age) in merged.items()
            ]
        )

    def _all_groups(self) -> Iterable[tuple[StatusGroup, int]]:
        now = self._now()
        for group in self._own_groups():
            yield group, 0
        for report in self._child_reports.values():
            age_ms = int((now - report.received_at) * 1000)
            for group in report.groups:
                yield group, age_ms

    def summary(self, clock: HybridClock) -> ZoneSummary:
        """Return the summary of the own zone, as known to this process."""
        groups = self.report().groups
        newest = max([g.version for g in groups if g.state != REFUSED], default=0)
        versions: dict[int, int] = {}
        enforced: dict[int, int] = {}
        unproven, age = set(), 0
        refused: dict[str, int] = {}
        for group in groups:
            keys = _split_keys(group.keys)
            age = max(age, group.age_ms)
            if group.state == REFUSED:
                refused[f"version {group.version}: {group.reason}"] = len(keys)
                continue
            for raw_key in keys:
                key = int.from_bytes(raw_key, "big")
                versions[key] = max(versions.get(key, 0), group.version)
                if group.state == UNPROVEN:
                    unproven.add(key)
        for version in versions.values():
            if version:
                enforced[version] = enforced.get(version, 0) + 1
        behind = [key for key, version in versions.items() if version < newest]
        zone = self._members.me.zone
        absent = [
            name
            for name in self._members.zone_members(zone)
            if instance_key(name) not in versions
        ]
        return ZoneSummary(
            zone=zone,
            root=self._members.me.id,
            stamp=clock.tick(),
            age_ms=age,
            enforced=enforced,
            unproven=len(unproven),
            refused=refused,
            behind=[self._instance_name(key) for key in behind[:MAX_LISTED_NAMES]],
            behind_count=len(behind),
            not_heard=sorted(absent)[:MAX_LISTED_NAMES],
            not_heard_count=len(absent),
        )

    def _instance_name(self, key: int) -> str:
        return self._members.name_of(key) or f"unlisted:{key:016x}"


def _without_ages(groups: list[StatusGroup]) -> set[tuple]:
    return {(group.version, group.state, group.reason, group.keys) for group in groups}


def _split_keys(keys: bytes) -> list[bytes]:
    return [keys[start : start + KEY_BYTES] for start in range(0, len(keys), KEY_BYTES)]


class ZoneStatus(Struct):
    """Status of one availability zone in the status of the fleet.

    :param heard: whether the summary is at most ``MAX_SUMMARY_AGE_S`` old.
    :param age_s: age of the oldest report in the summary, negative without a summary.
    :param enforced: number of instances by enforced version.
    :param unproven: number of instances that enforce without a proven boot floor.
    :param refused: number of instances by version and reason, as one text.
    :param behind: names of some instances below the newest version of the zone.
    :param behind_count: number of all instances below that version.
    :param not_heard: names of some listed instances that no current report mentions.
    :param not_heard_count: number of all such instances.
    """

    zone: str
    heard: bool
    age_s: float
    enforced: dict[int, int]
    unproven: int
    refused: dict[str, int]
    behind: list[str]
    behind_count: int
    not_heard: list[str]
    not_heard_count: int


class FleetStatus(Struct):
    """Rollout status of a version, as known to one process.

    :param instance: instance that reports this status.
    :param version: requested version.
    :param digest: digest of the version if this instance enforces it, otherwise empty.
    :param newest: newest version that any instance is known to enforce.
    :param listed: number of listed instances.
    :param enforced: number of instances that enforce the version.
    :param newer: number of instances that enforce a newer version.
    :param behind: number of instances that enforce an older version.
    :param not_heard: number of listed instances that no current report mentions.
    :param complete: whether all listed instances enforce the version or a newer one.
    """

    instance: str
    version: int
    digest: str
    newest: int
    list_revision: int
    listed: int
    enforced: int
    newer: int
    behind: int
    refused: dict[str, int]
    not_heard: int
    unproven: int
    complete: bool
    zones: list[ZoneStatus]


class ZoneSummaries:
    """The newest summary of each availability zone, by hybrid timestamp."""

    def __init__(self, members: Members, now: Callable[[], float] = time.monotonic):
        self._members = members
        self._now = now
        self._summaries: dict[str, tuple[ZoneSummary, float]] = {}

    def merge(self, summaries: Iterable[ZoneSummary]) -> list[ZoneSummary]:
        """Store summaries newer than the known ones, and return those."""
        fresh = []
        for summary in summaries:
            known = self._summaries.get(summary.zone)
            if known is None or known[0].stamp < summary.stamp:
                self._summaries[summary.zone] = summary, self._now()
                fresh.append(summary)
        return fresh

    def report(self) -> FleetReport:
        """Return the summaries with their current ages."""
        now = self._now()
        return FleetReport(
            [
                _aged(summary, int((now - received_at) * 1000))
                for summary, received_at in self._summaries.values()
            ]
        )

    def status(self, store: VersionStore, version: int | None) -> FleetStatus:
        """Return the status of a version.

        :param version: version number, ``None`` for the newest known version.
        """
        zones = [self._zone_status(zone) for zone in self._members.zones]
        versions = [v for zone in zones for v in zone.enforced]
        newest = max([*versions, store.highest_known.version, store.current.version])
        requested = newest if version is None else version
        heard = [zone for zone in zones if zone.heard]
        enforced_count = sum(zone.enforced.get(requested, 0) for zone in heard)
        newer = sum(n for z in heard for v, n in z.enforced.items() if v > requested)
        older = sum(n for z in heard for v, n in z.enforced.items() if v < requested)
        missing = sum(zone.not_heard_count for zone in zones)
        refused: dict[str, int] = {}
        for zone in heard:
            for reason, count in zone.refused.items():
                refused[reason] = refused.get(reason, 0) + count
        current = store.current
        return FleetStatus(
            instance=self._members.me.id,
            version=requested,
            digest=current.digest if current.version == requested else "",
            newest=newest,
            list_revision=self._members.revision,
            listed=len(self._members.instances),
            enforced=enforced_count,
            newer=newer,
            behind=older,
            refused=refused,
            not_heard=missing,
            unproven=sum(zone.unproven for zone in heard),
            complete=bool(enforced_count + newer) and not (older or missing),
            zones=zones,
        )

    def _zone_status(self, zone: str) -> ZoneStatus:
        names = sorted(self._members.zone_members(zone))
        entry = self._summaries.get(zone)
        if entry is None:
            absent = names[:MAX_LISTED_NAMES]
            return ZoneStatus(zone, False, -1.0, {}, 0, {}, [], 0, absent, len(names))
        summary = _aged(entry[0], int((self._now() - entry[1]) * 1000))
        fresh = summary.age_ms <= MAX_SUMMARY_AGE_S * 1000
        return ZoneStatus(
            zone=zone,
            heard=fresh,
            age_s=summary.age_ms / 1000,
            enforced=summary.enforced,
            unproven=summary.unproven,
            refused=summary.refused,
            behind=summary.behind,
            behind_count=summary.behind_count,
            not_heard=summary.not_heard if fresh else names[:MAX_LISTED_NAMES],
            not_heard_count=summary.not_heard_count if fresh else len(names),
        )


def _aged(summary: ZoneSummary, extra_ms: int) -> ZoneSummary:
    fields = {name: getattr(summary, name) for name in summary.__struct_fields__}
    fields["age_ms"] += extra_ms
    return ZoneSummary(**fields)
