from ragwortferry.spread.members import Members
from ragwortferry.spread.messages import SubtreeReport, VersionId
from ragwortferry.spread.status import MAX_SUMMARY_AGE_S, StatusTable, ZoneSummaries
from ragwortferry.spread.store import Refusal
from ragwortferry.tests.builders import (
    FakeClock,
    enforce,
    instance,
    instance_list,
    run,
    section,
    store,
)
from ragwortferry.utils.clock import HybridClock

CLOCK = HybridClock()
NAMES = ["i-1", "i-2", "i-3", "i-4"]


def process(name, version=1, now=None, zone="zone-a", names=NAMES):
    members = Members(instance(name, zone), fanout=4, readers=2)
    listed = [instance(item) for item in names] + [instance("far-1", "zone-b")]
    members.apply(instance_list(listed))
    version_store = store()
    if version:
        run(enforce(version_store, {"a": section()}, version))
    now = now or FakeClock()
    return (
        members,
        version_store,
        StatusTable(members, version_store, now),
        ZoneSummaries(members, now),
    )


def test_instance_reported_over_two_links_is_counted_once():
    _, _, root, _ = process("i-1")
    child = process("i-2")[2]
    root.update(1, child.report())
    root.update(2, child.report())
    assert root.summary(CLOCK).enforced == {1: 2}
    root.remove(1)
    root.remove(2)
    assert root.summary(CLOCK).enforced == {1: 1}


def test_instances_without_a_report_do_not_count_as_enforcing():
    members, version_store, root, summaries = process("i-1")
    root.update(1, process("i-2")[2].report())
    summaries.merge([root.summary(CLOCK)])
    status = summaries.status(version_store, None)
    assert (status.enforced, status.not_heard, status.complete) == (2, 3, False)
    zone = status.zones[0]
    assert zone.not_heard == ["i-3", "i-4"]
    assert not status.zones[1].heard


def test_zone_with_an_expired_summary_counts_as_not_heard():
    now = FakeClock()
    members, version_store, root, summaries = process("i-1", now=now, names=["i-1"])
    far = process("far-1", zone="zone-b")[2]
    summaries.merge([root.summary(CLOCK), far.summary(CLOCK)])
    assert summaries.status(version_store, None).complete
    now.now += MAX_SUMMARY_AGE_S + 1
    summaries.merge([root.summary(CLOCK)])
    status = summaries.status(version_store, None)
    assert (status.enforced, status.not_heard, status.complete) == (1, 1, False)


def test_ages_accumulate_along_the_tree():
    now = FakeClock()
    _, _, root, summaries = process("i-1", now=now)
    report = process("i-2")[2].report()
    aged = SubtreeReport(
        [type(g)(g.version, g.state, g.reason, g.keys, 700) for g in report.groups]
    )
    root.update(1, aged)
    now.now += 2
    summaries.merge([root.summary(CLOCK)])
    now.now += 1
    assert summaries.report().zones[0].age_ms == 3700


def test_status_names_instances_behind_and_refusal_reasons():
    _, version_store, root, summaries = process("i-1", version=3)
    version_store.refuse(
        Refusal(VersionId(4, "d"), "service 'x' does not exist", final=True)
    )
    root.update(1, process("i-2", version=2)[2].report())
    summaries.merge([root.summary(CLOCK)])
    status = summaries.status(version_store, 3)
    assert status.zones[0].behind == ["i-2"] and status.behind == 1
    assert status.refused == {"version 4: service 'x' does not exist": 1}
