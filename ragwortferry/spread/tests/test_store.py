import asyncio

import pytest

from ragwortferry.document.models import encode_manifest
from ragwortferry.exceptions import InvariantError
from ragwortferry.spread.messages import Update, VersionId
from ragwortferry.spread.store import MAX_HISTORY_VERSIONS, Refusal, compress_text
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


def test_version_is_enforced_entirely_or_not_at_all():
    async def scenario():
        version_store = store()
        await enforce(version_store, TEXTS, 1)
        bad = {**CHANGED, "b": section("archivo", upstreams=0)}
        result = await enforce(version_store, bad, 2)
        assert "upstreams" in result.error.reason
        assert version_store.current.version == 1
        assert version_store.snapshot.routes["tablero-read"].timeout_s == 2.0
        assert version_store.settled == 2

    run(scenario())


def test_lower_versions_and_changed_content_are_rejected():
    async def scenario():
        version_store = store()
        await enforce(version_store, TEXTS, 5)
        before = version_store.current
        assert (await enforce(version_store, CHANGED, 4)).ok is False
        assert (await enforce(version_store, CHANGED, 5)).ok is False
        assert version_store.current == before
        assert "below 5" in version_store.check_order(VersionId(4, "x"))
        assert "other content" in version_store.check_order(VersionId(5, "x"))

    run(scenario())


def test_concurrent_versions_leave_the_highest_enforced():
    async def scenario():
        version_store = store()
        versions = [3, 1, 4, 2, 6, 5]
        offers = [
            enforce(version_store, {**TEXTS, "a": section(timeout_ms=v)}, v)
            for v in versions
        ]
        await asyncio.gather(*offers)
        assert version_store.current.version == 6
        assert version_store.snapshot.routes["tablero-read"].timeout_s == 0.006

    run(scenario())


def test_versions_below_the_boot_floor_are_rejected():
    async def scenario():
        version_store = store()
        floor = manifest(TEXTS, 7)
        version_store.set_floor(VersionId(7, content_digest(encode_manifest(floor))))
        assert (await enforce(version_store, TEXTS, 6)).ok is False
        assert (await enforce(version_store, CHANGED, 7)).ok is False
        assert version_store.snapshot is None
        assert (await enforce(version_store, TEXTS, 7)).ok is True

    run(scenario())


def test_enforcing_a_lower_version_breaks_an_invariant():
    async def scenario():
        version_store = store()
        await enforce(version_store, TEXTS, 2)
        version_store.check_order = lambda version_id: None
        with pytest.raises(InvariantError):
            await enforce(version_store, CHANGED, 1)

    run(scenario())


def test_missing_or_mismatched_section_text_is_refused():
    async def scenario():
        version_store = store()
        wanted = manifest(TEXTS)
        texts = {digest: compress_text(b"other") for digest in wanted.sections.values()}
        result = await version_store.apply(wanted, texts, via="test")
        assert "does not have digest" in result.error.reason
        result = await version_store.apply(manifest(TEXTS, 2), {}, via="test")
        assert "no text with digest" in result.error.reason
        assert version_store.snapshot is None

    run(scenario())


def test_update_contains_only_changes_and_yields_the_same_version():
    async def scenario():
        parent, child = store(), store()
        for version_store in (parent, child):
            await enforce(version_store, TEXTS, 1)
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


def test_peer_with_unknown_or_old_content_gets_the_whole_document():
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


def test_update_with_a_wrong_digest_yields_no_manifest():
    async def scenario():
        version_store = store()
        texts = compressed(TEXTS)
        forged = Update(
            VersionId(), VersionId(1, "0" * 64), 0, manifest(TEXTS).sections, [], texts
        )
        assert version_store.manifest_of(forged) is None

    run(scenario())


def test_non_final_refusal_ends_when_the_version_is_enforced():
    async def scenario():
        version_store = store()
        await enforce(version_store, TEXTS, 1)
        version_id = VersionId(2, "d")
        version_store.refuse(Refusal(version_id, "section 'a' is missing", final=False))
        assert (
            version_store.settled == 1 and version_store.refusal.version_id.version == 2
        )
        assert (await enforce(version_store, CHANGED, 2)).ok is True
        assert version_store.refusal is None

    run(scenario())
