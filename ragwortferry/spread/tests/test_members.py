import random

from ragwortferry.source.port import InstanceChange
from ragwortferry.spread.members import SUSPECT_S, Members
from ragwortferry.tests.builders import FakeClock, instance, instance_list
from ragwortferry.utils.digests import rank_key

NAMES = [f"i-{number}" for number in range(40)]


def members(me, names=NAMES, now=None, **options):
    values = {"fanout": 4, "readers": 2, "now": now or FakeClock(), **options}
    held = Members(instance(me), **values)
    held.apply(instance_list([instance(name) for name in names]))
    return held


def test_parents_stand_before_their_children_whatever_the_lists_hold():
    rng = random.Random(11)
    for _ in range(200):
        parent_of = {}
        for name in NAMES:
            seen = [n for n in NAMES if n == name or rng.random() < 0.7]
            candidates = list(members(name, seen).parents())
            if candidates:
                parent_of[name] = rng.choice(candidates).id
        for name, parent in parent_of.items():
            assert rank_key("zone-a", parent) < rank_key("zone-a", name)


def test_two_instances_of_a_zone_read_and_all_others_have_a_parent():
    held = {name: members(name) for name in NAMES}
    assert sum(item.is_reader for item in held.values()) == 2
    roots = [name for name, item in held.items() if not list(item.parents())]
    assert len(roots) == 1


def test_the_first_choice_gives_no_parent_more_than_the_fanout():
    chosen = [next(members(name).parents(), None) for name in NAMES]
    counts = {}
    for parent in filter(None, chosen):
        counts[parent.id] = counts.get(parent.id, 0) + 1
    assert max(counts.values()) <= 4


def test_an_unreachable_instance_is_left_out_for_a_while():
    now = FakeClock()
    order = sorted(NAMES, key=lambda name: rank_key("zone-a", name))
    third = members(order[2], now=now)
    assert not third.is_reader
    third.suspect(order[0])
    assert third.is_reader
    now.now += SUSPECT_S + 1
    assert not third.is_reader


def test_an_instance_missing_from_the_list_still_has_a_place():
    joined = members("i-new")
    assert "i-new" not in joined.instances
    assert joined.position + 1 > len(list(joined.parents())) >= 1


def test_a_change_reaches_a_peer_as_a_difference_with_its_removals():
    first, second = members("i-1"), members("i-2")
    for revision, name in ((2, "i-5"), (3, "i-6")):
        first.apply(InstanceChange(revision, False, [], [name]))
    first.apply(InstanceChange(4, False, [instance("i-99")], []))
    update = first.update_for(1)
    change = second.decode_update(update)
    assert not change.full and sorted(change.removed) == ["i-5", "i-6"]
    second.apply(change)
    assert second.instances == first.instances and second.revision == 4


def test_a_process_that_joined_late_never_hides_an_earlier_removal():
    late = Members(instance("i-3"), fanout=4, readers=2, now=FakeClock())
    late.apply(instance_list([instance(name) for name in NAMES[:-1]], revision=9))
    behind = members("i-2")
    behind.apply(behind.decode_update(late.update_for(behind.revision)))
    assert behind.instances == late.instances


def test_an_older_list_is_passed_over():
    held = members("i-1")
    held.apply(InstanceChange(5, False, [], ["i-7"]))
    assert not held.apply(instance_list([instance("i-7")], revision=4))
    assert "i-7" not in held.instances
