"""Reads the source: the accepted version, its sections and the instance list."""

__all__ = ["Reader"]

import asyncio
import random
import time

from expression import Error, Ok, Result

from ragwortferry.document.models import (
    MAX_SECTION_BYTES,
    Manifest,
    ManifestDelta,
    apply_delta,
    decode_accepted,
    decode_manifest,
    encode_manifest,
)
from ragwortferry.exceptions import SourceError
from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log
from ragwortferry.source.port import (
    ACCEPTED_KEY,
    Source,
    Value,
    manifest_key,
    section_key,
)
from ragwortferry.spread.boot import Boot
from ragwortferry.spread.members import Members
from ragwortferry.spread.messages import Mark
from ragwortferry.spread.store import Refusal, VersionStore, pack
from ragwortferry.utils.clock import physical_ms
from ragwortferry.utils.digests import content_digest
from ragwortferry.utils.pacing import Backoff, TokenBucket

WATCH_WAIT_S = 20.0
BACKOFF_FIRST_S = 0.2
BACKOFF_MOST_S = 5.0
IDLE_S = 0.3
PARALLEL_READS = 8
MISSING_RETRIES = 3
PEERS_FIRST_S = 3.0


class Reader:
    """Watches the source while this instance stands at the top of its zone.

    Two processes that both believe to be readers cost reads and nothing else: whatever
    they read passes the same checks in the store.

    :param everyone: whether to read whatever the place in the zone, as in direct mode.
    :param alone: whether no peer can help if the source fails at the start.
    :param bucket: limits the calls to the source.
    """

    def __init__(
        self,
        kernel: Kernel,
        members: Members,
        store: VersionStore,
        source: Source,
        boot: Boot,
        log: Log,
        rng: random.Random,
        bucket: TokenBucket,
        everyone: bool,
        alone: bool,
    ):
        self._kernel = kernel
        self._members = members
        self._store = store
        self._source = source
        self._boot = boot
        self._log = log
        self._rng = rng
        self._bucket = bucket
        self._everyone = everyone
        self._alone = alone
        self._stuck = asyncio.Event()
        self._reading = False
        self.calls = 0
        self._problems: dict[str, str] = {}

    @property
    def problem(self) -> str:
        """Return why reading fails at present, empty if it does not."""
        return "; ".join(filter(None, dict.fromkeys(self._problems.values())))

    @property
    def stuck(self) -> asyncio.Event:
        """Return the event that is set when nothing can ever come into force.

        That is so if the first reading fails and there is no peer to turn to.
        """
        return self._stuck

    @property
    def reading(self) -> bool:
        """Return whether this process reads the source."""
        return self._reading

    async def start(self) -> None:
        """Start to watch when the place in the zone asks for it."""
        self._kernel.spawn(self._run("version", self._read_version), "version reader")
        self._kernel.spawn(self._run("list", self._read_list), "list reader")

    async def stop(self) -> None:
        """Close the source."""
        await self._source.close()

    async def _run(self, what: str, step) -> None:
        """Repeat one step of reading, backing off while the source fails."""
        await self._boot.done.wait()
        backoff = Backoff(BACKOFF_FIRST_S, BACKOFF_MOST_S, self._rng)
        after = 0
        while True:
            self._change_role()
            if not self._reading:
                after = 0
                await asyncio.sleep(IDLE_S * self._rng.uniform(0.5, 1.0))
                continue
            try:
                after = await step(after)
                self._note_problem(what, "")
                backoff.reset()
            except SourceError as error:
                self._note_problem(what, str(error))
                if self._alone and not (self._store.mark.version or self._has_peers()):
                    self._stuck.set()
                await asyncio.sleep(backoff.next_delay())

    def _has_peers(self) -> bool:
        return any(name != self._members.me.id for name in self._members.instances)

    def _change_role(self) -> None:
        wanted = self._everyone or self._members.is_reader
        if wanted != self._reading:
            self._reading = wanted
            role = "reader" if wanted else "relay"
            self._log.event("role", f"now a {role} of the zone", role=role)

    def _note_problem(self, what: str, problem: str) -> None:
        if problem != self._problems.get(what, ""):
            self._problems[what] = problem
            text = "source failed" if problem else "source works"
            self._log.event("source", text, reason=problem)

    async def _call(self):
        """Wait for the right to make one call to the source and count it."""
        await self._bucket.take()
        self.calls += 1

    # Versions

    async def _read_version(self, after: int) -> int:
        """Wait for a new manifest and offer it to the store.

        :returns: the revision after which to watch.
        """
        await self._call()
        value = await self._source.watch(ACCEPTED_KEY, after, WATCH_WAIT_S)
        if value is None:
            await self._call()
            value = await self._source.read(ACCEPTED_KEY)
        if value is None:
            raise SourceError("no version is accepted yet")
        if value.revision < after:
            self._log.event("stale", "source went back", revision=value.revision)
            raise SourceError(f"revision {value.revision} after {after}")
        if value.revision > after:
            await self._offer(value)
        return value.revision

    async def _offer(self, value: Value) -> None:
        accepted = decode_accepted(value.data)
        if accepted.is_error():
            self._log.event("refused", "manifest refused", reason=accepted.error)
            raise SourceError(accepted.error)
        mark = _mark_of(accepted.ok)
        order = self._store.check_order(mark)
        if order:
            self._log.event(
                "stale", "version refused", version=mark.version, reason=order
            )
            raise SourceError(order)
        if mark == self._store.mark or self._store.refused(mark):
            return
        self._log.event(
            "accepted-seen", f"version {mark.version} read", version=mark.version
        )
        seen_ms = physical_ms()
        manifest = await self._manifest_of(accepted.ok)
        await self._fetch_and_apply(manifest, mark, seen_ms)

    async def _manifest_of(self, accepted: Manifest | ManifestDelta) -> Manifest:
        """Return the manifest itself, worked out or read for a short form."""
        if isinstance(accepted, Manifest):
            return accepted
        held = self._store.snapshot
        if held and held.version == accepted.base:
            manifest = apply_delta(accepted, held.manifest)
            if manifest:
                return manifest
        await self._call()
        value = await self._source.read(manifest_key(accepted.digest))
        manifest = decode_manifest(value.data) if value else Error("it is missing")
        if manifest.is_error() or _mark_of(manifest.ok) != _mark_of(accepted):
            reason = manifest.error if manifest.is_error() else "it is another one"
            text = f"manifest {accepted.digest[:12]}: {reason}"
            self._store.refuse(Refusal(_mark_of(accepted), text, final=False))
            raise SourceError(text)
        return manifest.ok

    async def _fetch_and_apply(
        self, manifest: Manifest, mark: Mark, seen_ms: int
    ) -> None:
        texts = await self._fetch_sections(manifest)
        match texts:
            case Result(tag="ok", ok=packed):
                await self._store.apply(manifest, packed, "source", seen_ms)
            case Result(error=reason):
                self._store.refuse(Refusal(mark, reason, final=False))
                raise SourceError(reason)

    async def _fetch_sections(self, manifest: Manifest) -> Result[dict, str]:
        """Return the compressed texts of the sections that are not held."""
        held = self._store.texts
        wanted = [
            (name, digest)
            for name, digest in manifest.sections.items()
            if digest not in held
        ]
        if len(wanted) > PARALLEL_READS:
            await self._wait_for_peers(manifest.version)
        texts: dict[str, bytes] = {}
        for at in range(0, len(wanted), PARALLEL_READS):
            if self._store.mark.version >= manifest.version:
                return Ok({})
            batch = wanted[at : at + PARALLEL_READS]
            found = await asyncio.gather(*(self._fetch(*item) for item in batch))
            for (_, digest), result in zip(batch, found, strict=True):
                if result.is_error():
                    return Error(result.error)
                texts[digest] = pack(result.ok)
        return Ok(texts)

    async def _wait_for_peers(self, version: int) -> None:
        """Give the first reader of the zone time to pass a large change on."""
        end = time.monotonic() + PEERS_FIRST_S * min(1, self._members.position)
        while time.monotonic() < end and self._store.mark.version < version:
            await asyncio.sleep(IDLE_S * self._rng.uniform(0.5, 1.0))

    async def _fetch(self, name: str, digest: str) -> Result[bytes, str]:
        backoff = Backoff(BACKOFF_FIRST_S, BACKOFF_MOST_S, self._rng)
        reason = ""
        for _ in range(MISSING_RETRIES):
            await self._call()
            value = await self._source.read(section_key(name, digest))
            if value is None:
                reason = f"section {name!r}: missing at digest {digest[:12]}"
            elif len(value.data) > MAX_SECTION_BYTES:
                size = len(value.data)
                return Error(f"section {name!r}: {size} bytes, over the bound")
            elif content_digest(value.data) != digest:
                found = content_digest(value.data)[:12]
                reason = f"section {name!r}: digest {found}, not {digest[:12]}"
            else:
                return Ok(value.data)
            await asyncio.sleep(backoff.next_delay())
        return Error(reason)

    # Instance list

    async def _read_list(self, after: int) -> int:
        """Wait for a change of the instance list and take it in."""
        await self._call()
        change = await self._source.instances(after, WATCH_WAIT_S)
        if change is None:
            return after
        self._members.apply(change)
        return change.revision


def _mark_of(accepted: Manifest | ManifestDelta) -> Mark:
    if isinstance(accepted, ManifestDelta):
        return Mark(accepted.version, accepted.digest)
    return Mark(accepted.version, content_digest(encode_manifest(accepted)))
