"""Generated documents of any size for benchmarks."""

__all__ = ["document", "section"]

from collections.abc import Sequence


def section(
    service: str, upstreams: Sequence[str], zones: Sequence[str], edit: int = 0
) -> bytes:
    """Return the text of the section of one service.

    :param upstreams: names of the upstreams.
    :param zones: zones that the upstreams are assigned to in turn.
    :param edit: number that makes texts differ.
    """
    listed = "\n".join(
        f'  {{ name = "{name}", zone = "{zones[at % len(zones)]}" }},'
        for at, name in enumerate(upstreams)
    )
    routes = "\n".join(
        f"""
[[routes]]
name = "{service}-{suffix}"
prefix = "/{service}{path}"
service = "{service}"
methods = ["{method}"]
idempotent = {str(method == "GET").lower()}
timeout_ms = {2000 + edit}
retries = 2"""
        for suffix, path, method in (
            ("read", "", "GET"),
            ("pay", "/pay", "POST"),
            ("export", "/export", "GET"),
        )
    )
    return f"""# Section of {service}, edit {edit}.
team = "{service}"

[[services]]
name = "{service}"
slots = 20
connections = 130
queue = 40
slow_start_s = 0
upstreams = [
{listed}
]
{routes}
""".encode()


def document(services: int, upstreams: int, zones: int) -> dict[str, bytes]:
    """Return the section texts of a document; services get equally many upstreams."""
    names = [f"zone-{at:02d}" for at in range(zones)]
    texts = {}
    for at in range(services):
        service = f"service-{at:03d}"
        indices = range(at, upstreams, services)
        listed = [f"{service}-{number}" for number in range(len(indices))]
        texts[service] = section(service, listed, names[at % zones :] + names)
    return texts
