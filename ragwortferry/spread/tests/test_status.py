from ragwortferry.spread.members import Members
from ragwortferry.spread.messages import Mark, SubtreeReport
from ragwortferry.spread.status import HEARD_BOUND_S, Fleet, StatusTable
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
    held = store()
    if version:
        run(enforce(held, {"a": section()}, version))
    now = now or FakeClock()
    return members, held, StatusTable(members, held, now), Fleet(members, now)


def test_each_instance_is_counted_once_however_it_moves():
    _, _, root, _ = process("i-1")
    child = process("i-2")[2]
    root.take(1, child.report())
    root.take(2, child.report())
    assert root.summary(CLOCK).enforced == {1: 2}
    root.drop(1)
    root.drop(2)
    assert root.summary(CLOCK).enforced == {1: 1}


def test_an_instance_not_heard_from_never_counts_as_enforcing():
    members, held, root, fleet = process("i-1")
    root.take(1, process("i-2")[2].report())
    fleet.merge([root.summary(CLOCK)])
    answer = fleet.answer(held, None)
    assert (answer.enforced, answer.not_heard, answer.complete) == (2, 3, False)
    zone = answer.zones[0]
    assert zone.not_heard == ["i-3", "i-4"]
    assert not answer.zones[1].heard


def test_a_summary_past_the_bound_is_no_longer_heard_from():
    now = FakeClock()
    members, held, root, fleet = process("i-1", now=now, names=["i-1"])
    far = process("far-1", zone="zone-b")[2]
    fleet.merge([root.summary(CLOCK), far.summary(CLOCK)])
    assert fleet.answer(held, None).complete
    now.now += HEARD_BOUND_S + 1
    fleet.merge([root.summary(CLOCK)])
    answer = fleet.answer(held, None)
    assert (answer.enforced, answer.not_heard, answer.complete) == (1, 1, False)


def test_ages_add_up_on_the_way():
    now = FakeClock()
    _, _, root, fleet = process("i-1", now=now)
    report = process("i-2")[2].report()
    aged = SubtreeReport(
        [type(g)(g.version, g.state, g.reason, g.keys, 700) for g in report.groups]
    )
    root.take(1, aged)
    now.now += 2
    fleet.merge([root.summary(CLOCK)])
    now.now += 1
    assert fleet.report().zones[0].age_ms == 3700


def test_behind_and_refused_are_named():
    _, held, root, fleet = process("i-1", version=3)
    held.refuse(Refusal(Mark(4, "d"), "service 'x' does not exist", final=True))
    root.take(1, process("i-2", version=2)[2].report())
    fleet.merge([root.summary(CLOCK)])
    answer = fleet.answer(held, 3)
    assert answer.zones[0].behind == ["i-2"] and answer.behind == 1
    assert answer.refused == {"version 4: service 'x' does not exist": 1}
