"""Reads the accepted version, its sections and the instance list from the source."""

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
from ragwortferry.spread.messages import VersionId
from ragwortferry.spread.store import Refusal, VersionStore, compress_text
from ragwortferry.utils.clock import physical_ms
from ragwortferry.utils.digests import content_digest
from ragwortferry.utils.pacing import Backoff, TokenBucket

WATCH_WAIT_S = 20.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
POLL_INTERVAL_S = 0.3
MAX_PARALLEL_READS = 8
MAX_FETCH_ATTEMPTS = 3
MAX_PEER_WAIT_S = 3.0


class Reader:
    """Watches the source while this instance is one of the readers of its zone.

    Too many processes that consider themselves readers only cause more reads: the store
    applies the same checks to whatever each of them reads.

    :param bucket: limits the rate of calls to the source.
    :param always: whether to read at any position in the zone, as in direct mode.
    :param without_seeds: whether the process has no seeds, so that no peer can help if
        the source fails at start-up.
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
        always: bool,
        without_seeds: bool,
    ):
        self._kernel = kernel
        self._members = members
        self._store = store
        self._source = source
        self._boot = boot
        self._log = log
        self._rng = rng
        self._bucket = bucket
        self._always = always
        self._without_seeds = without_seeds
        self._startup_failed = asyncio.Event()
        self._reading = False
        self.calls = 0
        self._problems: dict[str, str] = {}

    @property
    def problem(self) -> str:
        """Return why reading currently fails, an empty text if it does not."""
        return "; ".join(filter(None, dict.fromkeys(self._problems.values())))

    @property
    def startup_failed(self) -> asyncio.Event:
        """Return the event that is set when no version can be obtained at start-up.

        This is the case if the first read fails and no seed or peer is known.
        """
        return self._startup_failed

    @property
    def reading(self) -> bool:
        """Return whether this process reads the source."""
        return self._reading

    async def start(self) -> None:
        """Start to watch the source whenever this process is a reader."""
        self._kernel.spawn(
            self._read_loop("version", self._read_version), "version reader"
        )
        self._kernel.spawn(self._read_loop("list", self._read_list), "list reader")

    async def stop(self) -> None:
        """Close the source."""
        await self._source.close()

    async def _read_loop(self, part: str, read) -> None:
        """Call ``read`` repeatedly while this process is a reader.

        Failed calls are retried with backoff.
        """
        await self._boot.done.wait()
        backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, self._rng)
        after = 0
        while True:
            self._update_role()
            if not self._reading:
                after = 0
                await asyncio.sleep(POLL_INTERVAL_S * self._rng.uniform(0.5, 1.0))
                continue
            try:
                after = await read(after)
                self._record_problem(part, "")
                backoff.reset()
            except SourceError as error:
                self._record_problem(part, str(error))
                if self._without_seeds and not (
                    self._store.current.version or self._has_peers()
                ):
                    self._startup_failed.set()
                await asyncio.sleep(backoff.next_delay())

    def _has_peers(self) -> bool:
        return any(name != self._members.me.id for name in self._members.instances)

    def _update_role(self) -> None:
        wanted = self._always or self._members.is_reader
        if wanted != self._reading:
            self._reading = wanted
            role = "reader" if wanted else "relay"
            self._log.event(
                "role", f"this process is now a {role} of its zone", role=role
            )

    def _record_problem(self, part: str, problem: str) -> None:
        if problem != self._problems.get(part, ""):
            self._problems[part] = problem
            text = (
                "reading the source failed" if problem else "source can be read again"
            )
            self._log.event("source", text, reason=problem)

    async def _throttle(self):
        """Wait until the rate limit permits a call to the source, and count it."""
        await self._bucket.take()
        self.calls += 1

    # Versions

    async def _read_version(self, after: int) -> int:
        """Wait for a new manifest and offer it to the store.

        :param after: revision after which to watch.
        :returns: the next revision after which to watch.
        """
        await self._throttle()
        value = await self._source.watch(ACCEPTED_KEY, after, WATCH_WAIT_S)
        if value is None:
            await self._throttle()
            value = await self._source.read(ACCEPTED_KEY)
        if value is None:
            raise SourceError("no version has been accepted yet")
        if value.revision < after:
            self._log.event(
                "stale", "source returned an older revision", revision=value.revision
            )
            raise SourceError(
                f"source returned revision {value.revision} after {after}"
            )
        if value.revision > after:
            await self._offer_version(value)
        return value.revision

    async def _offer_version(self, value: Value) -> None:
        accepted = decode_accepted(value.data)
        if accepted.is_error():
            self._log.event(
                "refused", "accepted manifest refused", reason=accepted.error
            )
            raise SourceError(accepted.error)
        version_id = _version_id_of(accepted.ok)
        reason = self._store.check_order(version_id)
        if reason:
            self._log.event(
                "stale",
                f"accepted version {version_id.version} refused",
                version=version_id.version,
                reason=reason,
            )
            raise SourceError(reason)
        if version_id == self._store.current or self._store.final_refusal(version_id):
            return
        self._log.event(
            "accepted-seen",
            f"new version {version_id.version} read from the source",
            version=version_id.version,
        )
        seen_ms = physical_ms()
        manifest = await self._manifest_of(accepted.ok)
        await self._fetch_and_apply(manifest, version_id, seen_ms)

    async def _manifest_of(self, accepted: Manifest | ManifestDelta) -> Manifest:
        """Return the accepted manifest, or the one that results from an accepted delta.

        A delta is applied to the manifest of the current version if that is its base
        and the result has the right digest. Otherwise the whole manifest is read from
        the source.
        """
        if isinstance(accepted, Manifest):
            return accepted
        snapshot = self._store.snapshot
        if snapshot and snapshot.version == accepted.base:
            manifest = apply_delta(accepted, snapshot.manifest)
            if manifest:
                return manifest
        await self._throttle()
        value = await self._source.read(manifest_key(accepted.digest))
        manifest = (
            decode_manifest(value.data) if value else Error("missing in the source")
        )
        if manifest.is_error() or _version_id_of(manifest.ok) != _version_id_of(
            accepted
        ):
            reason = (
                manifest.error if manifest.is_error() else "version or digest differs"
            )
            text = f"manifest {accepted.digest[:12]}: {reason}"
            self._store.refuse(Refusal(_version_id_of(accepted), text, final=False))
            raise SourceError(text)
        return manifest.ok

    async def _fetch_and_apply(
        self, manifest: Manifest, version_id: VersionId, seen_ms: int
    ) -> None:
        result = await self._fetch_sections(manifest)
        match result:
            case Result(tag="ok", ok=texts):
                await self._store.apply(manifest, texts, "source", seen_ms)
            case Result(error=reason):
                self._store.refuse(Refusal(version_id, reason, final=False))
                raise SourceError(reason)

    async def _fetch_sections(self, manifest: Manifest) -> Result[dict, str]:
        """Return the compressed texts of the sections that the store does not have.

        The result is empty once a peer has supplied the version.
        """
        known = self._store.texts
        wanted = [
            (name, digest)
            for name, digest in manifest.sections.items()
            if digest not in known
        ]
        if len(wanted) > MAX_PARALLEL_READS:
            await self._wait_for_peers(manifest.version)
        texts: dict[str, bytes] = {}
        for start in range(0, len(wanted), MAX_PARALLEL_READS):
            if self._store.current.version >= manifest.version:
                return Ok({})
            batch = wanted[start : start + MAX_PARALLEL_READS]
            results = await asyncio.gather(
                *(self._fetch_section(*item) for item in batch)
            )
            for (_, digest), result in zip(batch, results, strict=True):
                if result.is_error():
                    return Error(result.error)
                texts[digest] = compress_text(result.ok)
        return Ok(texts)

    async def _wait_for_peers(self, version: int) -> None:
        """Wait for the first reader of the zone to read a large change and push it."""
        deadline = time.monotonic() + MAX_PEER_WAIT_S * min(1, self._members.position)
        while time.monotonic() < deadline and self._store.current.version < version:
            await asyncio.sleep(POLL_INTERVAL_S * self._rng.uniform(0.5, 1.0))

    async def _fetch_section(self, name: str, digest: str) -> Result[bytes, str]:
        backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, self._rng)
        reason = ""
        for _ in range(MAX_FETCH_ATTEMPTS):
            await self._throttle()
            value = await self._source.read(section_key(name, digest))
            if value is None:
                reason = f"section {name!r}: missing at digest {digest[:12]}"
            elif len(value.data) > MAX_SECTION_BYTES:
                size = len(value.data)
                return Error(f"section {name!r}: {size} bytes, which is too large")
            elif content_digest(value.data) != digest:
                actual = content_digest(value.data)[:12]
                reason = f"section {name!r}: digest is {actual}, not {digest[:12]}"
            else:
                return Ok(value.data)
            await asyncio.sleep(backoff.next_delay())
        return Error(reason)

    # Instance list

    async def _read_list(self, after: int) -> int:
        """Wait for a change of the instance list and apply it."""
        await self._throttle()
        change = await self._source.instances(after, WATCH_WAIT_S)
        if change is None:
            return after
        self._members.apply(change)
        return change.revision


def _version_id_of(accepted: Manifest | ManifestDelta) -> VersionId:
    if isinstance(accepted, ManifestDelta):
        return VersionId(accepted.version, accepted.digest)
    return VersionId(accepted.version, content_digest(encode_manifest(accepted)))
