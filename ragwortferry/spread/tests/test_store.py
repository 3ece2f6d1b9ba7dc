import asyncio

import pytest

from ragwortferry.document.models import encode_manifest
from ragwortferry.exceptions import InvariantError
from ragwortferry.spread.messages import Update, VersionId
from ragwortferry.spread.store import MAX_HISTORY_VERSIONS, Refusal, compress_text
from ragwortferry.tests.builders import enforce, manifest, packed, run, section, store
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
        assert held.current.version == 1
        assert held.snapshot.routes["tablero-read"].timeout_s == 2.0
        assert held.settled == 2

    run(scenario())


def test_versions_never_go_back_and_never_change_their_content():
    async def scenario():
        held = store()
        await enforce(held, TEXTS, 5)
        before = held.current
        assert (await enforce(held, CHANGED, 4)).ok is False
        assert (await enforce(held, CHANGED, 5)).ok is False
        assert held.current == before
        assert "below 5" in held.check_order(VersionId(4, "x"))
        assert "other content" in held.check_order(VersionId(5, "x"))

    run(scenario())


def test_updates_that_cross_leave_the_highest_version_in_force():
    async def scenario():
        held = store()
        versions = [3, 1, 4, 2, 6, 5]
        offers = [
            enforce(held, {**TEXTS, "a": section(timeout_ms=v)}, v) for v in versions
        ]
        await asyncio.gather(*offers)
        assert held.current.version == 6
        assert held.snapshot.routes["tablero-read"].timeout_s == 0.006

    run(scenario())


def test_the_boot_floor_bars_what_the_slot_has_outgrown():
    async def scenario():
        held = store()
        floor = manifest(TEXTS, 7)
        held.set_floor(VersionId(7, content_digest(encode_manifest(floor))))
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
        texts = {digest: compress_text(b"other") for digest in wanted.sections.values()}
        result = await held.apply(wanted, texts, via="test")
        assert "does not have digest" in result.error.reason
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
        update = parent.update_for(child.current)
        assert list(update.changed) == ["a"] and update.removed == ["b"]
        assert len(update.texts) == 1
        await child.apply(child.manifest_of(update), update.texts, via="parent")
        assert child.current == parent.current
        assert child.snapshot.sections.keys() == {"a"}

    run(scenario())


def test_a_peer_with_unknown_or_old_content_gets_the_whole_document():
    async def scenario():
        parent = store()
        for version in range(1, MAX_HISTORY_VERSIONS + 5):
            texts = {**TEXTS, "a": section(timeout_ms=version)}
            await enforce(parent, texts, version)
        for have in (VersionId(), VersionId(1, "forged"), VersionId(2, "old")):
            update = parent.update_for(have)
            assert update.base == VersionId() and update.changed.keys() == {"a", "b"}
        assert parent.update_for(parent.current) is None

    run(scenario())


def test_an_update_that_does_not_match_its_digest_is_not_taken():
    async def scenario():
        held = store()
        texts = packed(TEXTS)
        forged = Update(
            VersionId(), VersionId(1, "0" * 64), 0, manifest(TEXTS).sections, [], texts
        )
        assert held.manifest_of(forged) is None

    run(scenario())


def test_a_refusal_that_is_not_final_is_overcome():
    async def scenario():
        held = store()
        await enforce(held, TEXTS, 1)
        mark = VersionId(2, "d")
        held.refuse(Refusal(mark, "section 'a' is missing", final=False))
        assert held.settled == 1 and held.refusal.version_id.version == 2
        assert (await enforce(held, CHANGED, 2)).ok is True
        assert held.refusal is None

    run(scenario())
