"""Sources return values and changes, and report platform faults as errors."""

import asyncio

import pytest

from ragwortferry.exceptions import SettingsError, SourceError
from ragwortferry.source import directory, http  # noqa: F401
from ragwortferry.source.port import ACCEPTED_KEY, open_source, section_key
from ragwortferry.tests.builders import instance, run, section
from ragwortferry.tests.invalid_entries import nested_json
from ragwortferry.utils.digests import content_digest
from standins.fleet import free_ports, wait_until
from standins.platform import Faults, Platform, PlatformServer


class ServedPlatform:
    """A platform stand-in and an HTTP source that reads it."""

    async def __aenter__(self):
        self.platform = Platform()
        self.server = PlatformServer(self.platform)
        port = await self.server.start("127.0.0.1", free_ports("127.0.0.1", 1)[0])
        self.source = open_source(f"http://127.0.0.1:{port}", "127.0.0.1")
        return self

    async def __aexit__(self, *_exc):
        await self.source.close()
        await self.server.stop()


def test_watch_returns_when_the_key_changes():
    async def scenario():
        async with ServedPlatform() as served:
            assert await served.source.read(ACCEPTED_KEY) is None
            served.platform.put(ACCEPTED_KEY, b"1")
            first = await served.source.watch(ACCEPTED_KEY, 0, 1)
            pending = asyncio.ensure_future(
                served.source.watch(ACCEPTED_KEY, first.revision, 5)
            )

            async def watching():
                return served.platform.calls["key"] == 3

            await wait_until(watching, 5, "the watch has started")
            served.platform.put(ACCEPTED_KEY, b"2")
            assert (await pending).data == b"2"
            assert await served.source.watch(ACCEPTED_KEY, 2, 0.05) is None

    run(scenario())


def test_platform_faults_raise_source_error():
    async def scenario():
        async with ServedPlatform() as served:
            served.platform.put(ACCEPTED_KEY, b"1")
            served.platform.set_faults(Faults(outage=True))
            with pytest.raises(SourceError, match="503"):
                await served.source.read(ACCEPTED_KEY)
            served.platform.set_faults(Faults())
            served.platform.max_calls_per_s = 0
            with pytest.raises(SourceError, match="429"):
                await served.source.read(ACCEPTED_KEY)
            await served.server.stop()
            with pytest.raises(SourceError, match="unreachable"):
                await served.source.instances(0, 0)

    run(scenario())


def test_frozen_or_rewound_platform_returns_older_value():
    async def scenario():
        async with ServedPlatform() as served:
            platform = served.platform
            platform.put(ACCEPTED_KEY, b"1")
            platform.set_faults(Faults(frozen=True))
            platform.put(ACCEPTED_KEY, b"2")
            assert (await served.source.read(ACCEPTED_KEY)).data == b"1"
            platform.set_faults(Faults())
            assert (await served.source.read(ACCEPTED_KEY)).data == b"2"
            platform.set_faults(Faults(rewound=1))
            assert (await served.source.read(ACCEPTED_KEY)).data == b"1"

    run(scenario())


def test_expected_revision_rejects_concurrent_write():
    platform = Platform()

    async def scenario():
        assert platform.put(ACCEPTED_KEY, b"1", expected=0) == 1
        assert platform.put(ACCEPTED_KEY, b"2", expected=0) is None
        assert platform.put(ACCEPTED_KEY, b"2", expected=1) == 2

    run(scenario())


def test_instance_list_is_returned_complete_then_as_changes():
    async def scenario():
        async with ServedPlatform() as served:
            platform = served.platform
            platform.change_instances([instance("a"), instance("b")], [])
            first = await served.source.instances(0, 0)
            assert first.full and [item.id for item in first.upserts] == ["a", "b"]
            platform.change_instances([instance("b", leaving=True)], ["a"])
            second = await served.source.instances(first.revision, 1)
            assert not second.full and second.removed == ["a"]
            assert second.upserts[0].leaving

    run(scenario())


def test_directory_serves_current_and_earlier_sections(tmp_path):
    async def scenario():
        old, new = section(), section(timeout_ms=1)
        digest = content_digest(old)
        (tmp_path / f"a.{digest[:12]}.toml").write_bytes(old)
        (tmp_path / "a.toml").write_bytes(new)
        source = open_source(f"dir:{tmp_path}")
        assert (await source.read(section_key("a", digest))).data == old
        assert (await source.read(section_key("a", content_digest(new)))).data == new
        assert await source.read(ACCEPTED_KEY) is None
        assert (await source.instances(0, 0)).upserts == []

    run(scenario())


def test_unknown_scheme_raises_settings_error():
    with pytest.raises(SettingsError, match="not one of dir, http, https"):
        open_source("ftp://x")


@pytest.mark.parametrize("text", ["?", "{}", nested_json(90_000)], ids=["", "{}", "[["])
def test_invalid_instance_list_raises_source_error(tmp_path, text):
    (tmp_path / "instances.json").write_text(text)

    async def scenario():
        source = open_source(f"dir:{tmp_path}")
        with pytest.raises(SourceError, match="invalid instance list"):
            await source.instances(0, 1)

    run(scenario())


def test_deeply_nested_instance_list_of_the_platform_raises_source_error(monkeypatch):
    async def scenario():
        source = open_source("http://127.0.0.1:1", "127.0.0.1")

        async def respond(*args, **params):
            return 200, 1, f'{{"other":{nested_json(90_000)}}}'.encode()

        monkeypatch.setattr(source, "_get", respond)
        with pytest.raises(SourceError, match="invalid instance list"):
            await source.instances(0, 1)

    run(scenario())
