import asyncio

import pytest

from ragwortferry.document.models import encode_manifest
from ragwortferry.exceptions import InvariantError
from ragwortferry.spread.messages import Mark, Update
from ragwortferry.spread.store import HISTORY_VERSIONS, Refusal, pack
from ragwortferry.tests.builders import (
    compressed,
    enforce,
    manifest,
    run,
    section,
    store,
)
from ragwortferry.utils.digests import content_digest

TEXTS = {"a": section(), "b": section("archivo")}
CHANGED = {**TEXTS, "a": section(timeout_ms=1500)}


def test_a_version_is_enforced_whole_or_not_at_all():
    async def scenario():
        held = store()
        await enforce(held, TEXTS, 1)
        bad = {**CHANGED, "b": section("archivo", upstreams=0)}
        result = await enforce(held, bad, 2)
        assert "upstreams" in result.error.reason
        assert held.mark.version == 1
        assert held.snapshot.routes["tablero-read"].timeout_s == 2.0
        assert held.settled == 2

    run(scenario())


def test_versions_never_go_back_and_never_change_their_content():
    async def scenario():
        held = store()
        await enforce(held, TEXTS, 5)
        before = held.mark
        assert (await enforce(held, CHANGED, 4)).ok is False
        assert (await enforce(held, CHANGED, 5)).ok is False
        assert held.mark == before
        assert "below 5" in held.check_order(Mark(4, "x"))
        assert "other content" in held.check_order(Mark(5, "x"))

    run(scenario())


def test_updates_that_cross_leave_the_highest_version_in_force():
    async def scenario():
        held = store()
        versions = [3, 1, 4, 2, 6, 5]
        offers = [
            enforce(held, {**TEXTS, "a": section(timeout_ms=v)}, v) for v in versions
        ]
        await asyncio.gather(*offers)
        assert held.mark.version == 6
        assert held.snapshot.routes["tablero-read"].timeout_s == 0.006

    run(scenario())


def test_the_boot_floor_bars_what_the_slot_has_outgrown():
    async def scenario():
        held = store()
        floor = manifest(TEXTS, 7)
        held.set_floor(Mark(7, content_digest(encode_manifest(floor))))
        assert (await enforce(held, TEXTS, 6)).ok is False
        assert (await enforce(held, CHANGED, 7)).ok is False
        assert held.snapshot is None
        assert (await enforce(held, TEXTS, 7)).ok is True

    run(scenario())


def test_the_program_itself_asserts_the_order():
    async def scenario():
        held = store()
        await enforce(held, TEXTS, 2)
        held.check_order = lambda mark: None
        with pytest.raises(InvariantError):
            await enforce(held, CHANGED, 1)

    run(scenario())


def test_a_text_with_another_digest_is_refused():
    async def scenario():
        held = store()
        wanted = manifest(TEXTS)
        texts = {digest: pack(b"other") for digest in wanted.sections.values()}
        result = await held.apply(wanted, texts, via="test")
        assert "has not digest" in result.error.reason
        result = await held.apply(manifest(TEXTS, 2), {}, via="test")
        assert "no text with digest" in result.error.reason
        assert held.snapshot is None

    run(scenario())


def test_an_update_holds_only_what_changed_and_leads_to_the_same_version():
    async def scenario():
        parent, child = store(), store()
        for held in (parent, child):
            await enforce(held, TEXTS, 1)
        for version in (2, 3):
            texts = {"a": section(timeout_ms=version), "b": TEXTS["b"]}
            await enforce(parent, texts, version)
        await enforce(parent, {"a": texts["a"]}, 4)
        update = parent.update_for(child.mark)
        assert list(update.changed) == ["a"] and update.removed == ["b"]
        assert len(update.texts) == 1
        await child.apply(child.manifest_of(update), update.texts, via="parent")
        assert child.mark == parent.mark
        assert child.snapshot.sections.keys() == {"a"}

    run(scenario())


def test_a_peer_with_unknown_or_old_content_gets_the_whole_document():
    async def scenario():
        parent = store()
        for version in range(1, HISTORY_VERSIONS + 5):
            texts = {**TEXTS, "a": section(timeout_ms=version)}
            await enforce(parent, texts, version)
        for have in (Mark(), Mark(1, "forged"), Mark(2, "old")):
            update = parent.update_for(have)
            assert update.base == Mark() and update.changed.keys() == {"a", "b"}
        assert parent.update_for(parent.mark) is None

    run(scenario())


def test_an_update_that_does_not_match_its_digest_is_not_taken():
    async def scenario():
        held = store()
        texts = compressed(TEXTS)
        forged = Update(
            Mark(), Mark(1, "0" * 64), 0, manifest(TEXTS).sections, [], texts
        )
        assert held.manifest_of(forged) is None

    run(scenario())


def test_a_refusal_that_is_not_final_is_overcome():
    async def scenario():
        held = store()
        await enforce(held, TEXTS, 1)
        mark = Mark(2, "d")
        held.refuse(Refusal(mark, "section 'a' is missing", final=False))
        assert held.settled == 1 and held.refusal.mark.version == 2
        assert (await enforce(held, CHANGED, 2)).ok is True
        assert held.refusal is None

    run(scenario())
