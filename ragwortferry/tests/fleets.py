"""Helpers for tests with small fleets of real processes."""

from contextlib import asynccontextmanager

from ragwortferry.tests.builders import ZONES, section
from standins.fleet import Fleet

SERVICE = "tablero"


def build_document(
    upstreams: int, timeout_ms: int = 2000, extra: str = "", routes: str = ""
):
    """Return the section texts of a document with one service."""
    return {
        "boards": section(
            SERVICE, upstreams, routes, timeout_ms, zones=ZONES, extra=extra
        )
    }


@asynccontextmanager
async def running(
    folder, count: int, zones: int = 2, document=None, fault_proxies=True, **settings
):
    """Yield a fleet whose instances all enforce version 1.

    Instances are named ``tablero-1`` and so on, and assigned to the zones in turn.
    """
    document = document or build_document(count)
    async with Fleet(folder, fault_proxies=fault_proxies) as fleet:
        for number in range(count):
            await fleet.add(f"{SERVICE}-{number + 1}", ZONES[number % zones], SERVICE)
        fleet.publish(document, 1)
        fleet.register_all()
        await fleet.spawn_all(**settings)
        await fleet.wait_version(1)
        yield fleet


def assert_no_rollback(fleet: Fleet) -> None:
    """Assert that no instance enforced a lower version, even after a restart."""
    for name in fleet.nodes:
        versions = [event["version"] for event in fleet.events(name, "enforced")]
        assert versions == sorted(versions), (name, versions)


def in_zone(fleet: Fleet, zone: str) -> list[str]:
    """Return the names of the instances of a zone."""
    return [n for n, node in fleet.nodes.items() if node.instance.zone == zone]
