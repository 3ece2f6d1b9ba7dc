"""Reads the configuration and the registry from the store on behalf of a zone."""

__all__ = ["Reader"]

import asyncio
import random
from collections.abc import Callable
from functools import partial

from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log
from ragwortferry.mesh.evacuation import EvacuationExchange
from ragwortferry.mesh.links.frames import ZoneChange
from ragwortferry.mesh.links.peers import Peers
from ragwortferry.mesh.links.relay import Relay
from ragwortferry.mesh.model import Upstream
from ragwortferry.mesh.revisions import era_of
from ragwortferry.mesh.state import REWRITE_GRACE_S, MeshState, RegistryChange
from ragwortferry.platform.evacuation import evacuated_zone
from ragwortferry.platform.names import CONFIG_KEY, OPERATOR_PREFIX, REGISTRY_PREFIX
from ragwortferry.platform.registry import decode_upstream, upstream_id
from ragwortferry.platform.store import (
    HistoryLostError,
    Item,
    StoreClient,
    StoreUnavailableError,
)
from ragwortferry.utils.pacing import Backoff

# Time for which the store holds a watch call (a long poll) without changes. Only a
# missing response shows a silent connection: a proxy may still acknowledge data. With
# ``WATCH_MARGIN_S`` in platform/store.py it is found within the 3 s
# (``stable_window_s``) after which changes count.
WATCH_TIMEOUT_S = 2.0
# Pause after a watch that returned changes, so that changes in quick succession cost
# one call.
WATCH_PAUSE_S = 0.3
# First and largest upper bound of the jittered delay before a failed call is retried.
INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.15, 1.0
# Interval at which a node checks whether it has to read the store.
ROLE_CHECK_INTERVAL_S = 0.25
# Time after the store is available again during which entries may be missing although
# their upstreams serve: their leases expired.
LEASE_GRACE_S = REWRITE_GRACE_S


class Reader:
    """Watches the configuration and the registry while this node is a reader.

    An upstream holds its registry entry by a lease, which expires if it cannot be
    renewed. After an outage of the store, entries of healthy upstreams are missing
    until they are written again. So removals are held back for a grace period after an
    outage that this node has seen, or its peers have reported. An entry that was
    draining is removed at once.

    A lease lasts for longer than one watch takes, so a single watch that breaks off is
    no outage in which entries expire.

    Each part of the store is read on its own. While either fails, another node of the
    zone takes over.
    """

    def __init__(
        self,
        kernel: Kernel,
        state: MeshState,
        peers: Peers,
        relay: Relay,
        evacuation: EvacuationExchange,
        store: StoreClient,
        log: Log,
        rng: random.Random,
    ):
        self._kernel = kernel
        self._state = state
        self._peers = peers
        self._relay = relay
        self._evacuation = evacuation
        self._store = store
        self._log = log
        self._rng = rng
        # Parts of the store whose last read failed.
        self._failing: set[str] = set()
        # Whether the store itself seems to be unavailable, and when that ended.
        self._outage = False
        self._store_restored_at = -LEASE_GRACE_S
        self._held_removals: dict[str, int] = {}
        self._malformed_keys: set[str] = set()
        # Called with the part of the store, the result and the duration of each read of
        # a whole part and of each failed call, in seconds.
        self.on_read: Callable[[str, str, float], None] = lambda name, result, s: None

    @property
    def should_read(self) -> bool:
        """Return whether this node currently has to read the store."""
        if not self._state.ready:
            return not self._peers.awaiting_seed
        links = [link for link in self._peers.links if link.peer_store_available]
        if self._relay.is_reader(link.host for link in links):
            return True
        # A silent link is kept for longer than a version may take.
        return self._relay.is_severed(
            link.host for link in links if not self._peers.is_silent(link)
        )

    async def start(self) -> None:
        """Start to read and watch."""
        self._store.on_invalid_era = self._log_invalid_era
        self._kernel.supervise(
            partial(self._read_and_watch, "configuration", self._read_configuration),
            "config",
        )
        self._kernel.supervise(
            partial(self._read_and_watch, "registry", self._read_registry), "registry"
        )

    async def stop(self) -> None:
        """Close the connections to the store."""
        self._store.close()

    async def _read_and_watch(self, name: str, read) -> None:
        """Read and watch one part of the store while this node is a reader.

        :param name: part of the store, for the log.
        :param read: coroutine function that reads the whole part if its first argument
            is 0, or else watches for changes after that revision, for as many seconds
            as the second one says. It returns the revision to continue from.
        """
        backoff = Backoff(INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S, self._rng)
        loop = asyncio.get_running_loop()
        after, wait_s = 0, WATCH_TIMEOUT_S
        while True:
            if not self.should_read:
                after = 0
                self._note_reports()
                self._forget_failure(name)
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            started_at, whole = loop.time(), not after
            self._store.assumed_era = self._state.era
            try:
                after = await read(after, wait_s)
                wait_s = WATCH_TIMEOUT_S
                if whole:
                    self.on_read(name, "ok", loop.time() - started_at)
                self._record_success(name)
                backoff.reset()
            except HistoryLostError as error:
                self._log.event(
                    "history-lost",
                    "store has discarded changes, reading all again",
                    reason=str(error),
                )
                after = 0
            except StoreUnavailableError as error:
                self.on_read(name, "failed", loop.time() - started_at)
                self._record_failure(name, error)
                # The store may be in another era once it answers again, in which the
                # next event may be far away.
                wait_s = 0.0
                await asyncio.sleep(backoff.next_delay())

    def _record_success(self, name: str) -> None:
        if self._outage:
            self._outage = False
            self._store_restored_at = asyncio.get_running_loop().time()
        if name in self._failing:
            self._failing.discard(name)
            self._relay.store_available = not self._failing
            self._log.event("store-regained", "store available again", reads=name)

    def _note_reports(self) -> None:
        """Note an outage that peers report, while this node does not read itself."""
        if not all(link.peer_store_available for link in self._peers.links):
            self._store_restored_at = asyncio.get_running_loop().time()

    def _forget_failure(self, name: str) -> None:
        """Forget a failed read of a node that no longer reads."""
        self._failing.discard(name)
        self._relay.store_available = not self._failing

    def _record_failure(self, name: str, error: StoreUnavailableError) -> None:
        self._outage |= not (error.responded or error.interrupted)
        self._relay.store_available = False
        if name not in self._failing:
            self._failing.add(name)
            self._log.event(
                "store-lost", "store unavailable", reads=name, reason=str(error)
            )

    def _log_invalid_era(self, value: str) -> None:
        self._log.event(
            "era-invalid",
            "store names no valid era, taken as unchanged",
            value=value,
            era=self._store.era,
        )

    async def _read_configuration(
        self, after: int, wait_s: float = WATCH_TIMEOUT_S
    ) -> int:
        """Read what the operator has written, or watch for its next change.

        :param after: revision after which to watch, 0 to read.
        :param wait_s: time for which to watch.
        :return: revision after which to watch next, 0 to read again.
        """
        if not after:
            page = await self._store.list(OPERATOR_PREFIX)
            self._apply_documents(page.items)
            self._replace_evacuations(page.items, page.revision)
            if page.revision:
                return page.revision
            await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
            return 0
        page = await self._store.watch(OPERATOR_PREFIX, after, wait_s)
        if page.items:
            self._apply_evacuations(page.items)
            documents = [item for item in page.items if item.key == CONFIG_KEY]
            self._apply_documents(documents[-1:])
            await asyncio.sleep(WATCH_PAUSE_S)
        return max(after, page.revision)

    def _apply_documents(self, items: list[Item]) -> None:
        for item in items:
            if item.key == CONFIG_KEY and item.value is not None:
                self._state.apply_document(item.value, "store")

    def _replace_evacuations(self, items: list[Item], revision: int) -> None:
        """Take over which zones a full listing shows as evacuated."""
        zones = {evacuated_zone(item.key): item.revision for item in items}
        zones.pop("", None)
        self._evacuation.replace(zones, revision)

    def _apply_evacuations(self, items: list[Item]) -> None:
        """Apply the changes of evacuated zones among the operator's changes."""
        changes = [
            ZoneChange(zone, item.revision, not item.removed)
            for item in items
            if (zone := evacuated_zone(item.key))
        ]
        if changes:
            self._evacuation.apply(changes, "store")

    async def _read_registry(self, after: int, wait_s: float = WATCH_TIMEOUT_S) -> int:
        """Read the registry, or watch for its next changes.

        :param after: revision after which to watch, 0 to read.
        :param wait_s: time for which to watch.
        :return: revision after which to watch next.
        """
        if not after:
            page = await self._store.list(REGISTRY_PREFIX)
            self._apply_snapshot(page.items, page.revision)
            return page.revision
        page = await self._store.watch(REGISTRY_PREFIX, after, wait_s)
        if page.items:
            self._apply_changes(after, page.items)
            await asyncio.sleep(WATCH_PAUSE_S)
        return max(after, page.revision)

    def _apply_snapshot(self, items: list[Item], revision: int) -> None:
        """Replace the registry by a full listing, apart from held removals.

        Entries of an earlier era are kept for a while by the state itself.
        """
        decoded, invalid = self._decode_items(items)
        listed = {item.id for item in decoded} | invalid.keys()
        missing = {
            name: revision
            for name, known in self._state.upstreams.items()
            if name not in listed
            and known.revision <= revision
            and era_of(known.revision) == era_of(revision)
        }
        kept = [self._state.upstreams[name] for name in self._hold_expired(missing)]
        change = RegistryChange(0, revision, [*decoded, *kept], invalid)
        self._state.apply_registry(change, "store")

    def _apply_changes(self, since: int, items: list[Item]) -> None:
        """Apply the newest change of each key, apart from held removals."""
        newest = {item.key: item for item in items}
        gone = [item for item in newest.values() if item.removed]
        removed = {upstream_id(item.key): item.revision for item in gone}
        self._malformed_keys.difference_update(item.key for item in gone)
        for name in self._hold_expired(removed):
            del removed[name]
        decoded, invalid = self._decode_items(
            [item for item in newest.values() if not item.removed]
        )
        removed |= invalid
        for item in decoded:
            self._held_removals.pop(item.id, None)
        revision = max(item.revision for item in items)
        # The store also counts changes of other parts. This node has read all up to
        # ``since``, so there is no gap after the last revision of the registry.
        since = min(since, self._state.revision)
        change = RegistryChange(since, revision, decoded, removed)
        self._state.apply_registry(change, "store")

    def _decode_items(self, items: list[Item]) -> tuple[list[Upstream], dict[str, int]]:
        """Return the upstreams of all valid entries, and the invalid entries.

        An invalid entry is logged once. It names no upstream, whatever it named before.

        :return: upstreams, and the revision of each invalid entry by its id.
        """
        decoded, invalid = [], {}
        for item in items:
            result = decode_upstream(item.key, item.value or b"", item.revision)
            if result.is_ok():
                decoded.append(result.ok)
                self._malformed_keys.discard(item.key)
                continue
            if upstream_id(item.key) in self._state.upstreams:
                invalid[upstream_id(item.key)] = item.revision
            if item.key not in self._malformed_keys:
                self._malformed_keys.add(item.key)
                reason = result.swap().ok
                self._log.event(
                    "entry-unusable",
                    "registry entry is invalid",
                    key=item.key,
                    reason=reason,
                )
        return decoded, invalid

    def _hold_expired(self, removed: dict[str, int]) -> list[str]:
        """Hold back removals that may be due to expired leases, and return their ids.

        They are applied at the end of the grace period unless the entry has come back.

        :param removed: revision of each removal, by id of the upstream.
        """
        known = self._state.upstreams
        abrupt = [
            name for name in removed if name in known and not known[name].draining
        ]
        loop = asyncio.get_running_loop()
        ends_at = LEASE_GRACE_S + (
            loop.time() if self._outage else self._store_restored_at
        )
        if not abrupt or loop.time() >= ends_at:
            return []
        for name in abrupt:
            self._held_removals[name] = removed[name]
        self._log.event(
            "lapsed",
            "registry removals held back, leases may have expired",
            upstreams=abrupt,
        )
        loop.call_at(ends_at, self._apply_held_removals, abrupt)
        return abrupt

    def _apply_held_removals(self, names: list[str]) -> None:
        """Apply the held removals of entries that have not been written again."""
        removed = {
            name: self._held_removals.pop(name)
            for name in names
            if name in self._held_removals
        }
        if removed:
            revision = self._state.revision
            change = RegistryChange(revision, revision, [], removed)
            self._state.apply_registry(change, "store")
