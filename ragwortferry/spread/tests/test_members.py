import random

from ragwortferry.source.port import InstanceChange
from ragwortferry.spread.members import SUSPICION_S, Members
from ragwortferry.tests.builders import FakeClock, instance, instance_list
from ragwortferry.utils.digests import rank_key

NAMES = [f"i-{number}" for number in range(40)]


def members(me, names=NAMES, now=None, **options):
    values = {"fanout": 4, "readers": 2, "now": now or FakeClock(), **options}
    result = Members(instance(me), **values)
    result.apply(instance_list([instance(name) for name in names]))
    return result


def test_parents_precede_children_even_if_instance_lists_differ():
    rng = random.Random(11)
    for _ in range(200):
        parent_of = {}
        for name in NAMES:
            listed = [n for n in NAMES if n == name or rng.random() < 0.7]
            candidates = list(members(name, listed).parent_candidates())
            if candidates:
                parent_of[name] = rng.choice(candidates).id
        for name, parent in parent_of.items():
            assert rank_key("zone-a", parent) < rank_key("zone-a", name)


def test_zone_has_two_readers_and_one_root():
    by_name = {name: members(name) for name in NAMES}
    assert sum(item.is_reader for item in by_name.values()) == 2
    roots = [
        name for name, item in by_name.items() if not list(item.parent_candidates())
    ]
    assert len(roots) == 1


def test_first_choice_of_parents_respects_the_fanout():
    chosen = [next(members(name).parent_candidates(), None) for name in NAMES]
    counts = {}
    for parent in filter(None, chosen):
        counts[parent.id] = counts.get(parent.id, 0) + 1
    assert max(counts.values()) <= 4


def test_suspected_instance_is_excluded_until_the_suspicion_ends():
    now = FakeClock()
    ordered = sorted(NAMES, key=lambda name: rank_key("zone-a", name))
    third = members(ordered[2], now=now)
    assert not third.is_reader
    third.suspect(ordered[0])
    assert third.is_reader
    now.now += SUSPICION_S + 1
    assert not third.is_reader


def test_unlisted_instance_has_a_position_and_parent_candidates():
    unlisted = members("i-new")
    assert "i-new" not in unlisted.instances
    assert unlisted.position + 1 > len(list(unlisted.parent_candidates())) >= 1


def test_update_contains_the_difference_including_removals():
    first, second = members("i-1"), members("i-2")
    for revision, name in ((2, "i-5"), (3, "i-6")):
        first.apply(InstanceChange(revision, False, [], [name]))
    first.apply(InstanceChange(4, False, [instance("i-99")], []))
    update = first.update_for(1)
    change = second.decode_update(update)
    assert not change.full and sorted(change.removed) == ["i-5", "i-6"]
    second.apply(change)
    assert second.instances == first.instances and second.revision == 4


def test_update_from_a_late_joiner_includes_earlier_removals():
    late_joiner = Members(instance("i-3"), fanout=4, readers=2, now=FakeClock())
    late_joiner.apply(
        instance_list([instance(name) for name in NAMES[:-1]], revision=9)
    )
    peer = members("i-2")
    peer.apply(peer.decode_update(late_joiner.update_for(peer.revision)))
    assert peer.instances == late_joiner.instances


def test_older_list_is_ignored():
    local = members("i-1")
    local.apply(InstanceChange(5, False, [], ["i-7"]))
    assert not local.apply(instance_list([instance("i-7")], revision=4))
    assert "i-7" not in local.instances
