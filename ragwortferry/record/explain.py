"""The ``explain`` command: finds the configuration that governed a request in logs."""

__all__ = ["Explanation", "Hop", "explain_request", "run_explain"]

from collections.abc import Iterable
from pathlib import Path

import msgspec
from msgspec import Struct

from ragwortferry.record.logfiles import LogLine, read_lines
from ragwortferry.utils.clock import format_timestamp
from ragwortferry.utils.digests import content_digest

EXIT_FOUND = 0
EXIT_NOT_FOUND = 2
NOT_RUN, RAN, UNKNOWN = "not-run", "ran", "unknown"


class Hop(Struct):
    """One log line about the request, from its entry proxy or an owner proxy.

    :param hop: ``entry`` or ``owner``.
    :param at: time of the line, in UTC.
    :param complete: whether the whole response was delivered.
    :param attempts: attempts to run the request, each with key, upstream and outcome.
    """

    hop: str
    at: str
    instance: str
    zone: str
    version: int
    digest: str
    section: str
    route: str
    status: int
    outcome: str
    error: str
    complete: bool
    attempts: list[dict]


class Explanation(Struct):
    """All that the logs contain about a request.

    :param ran: ``ran``, ``not-run``, ``unknown``, or ``contradicting``.
    :param hops: log lines about the request, ordered by time.
    :param remarks: missing lines, duplicate lines and contradictions.
    :param section_text: text of the section that governed the request.
    """

    request_id: str
    found: bool
    ran: str
    hops: list[Hop]
    remarks: list[str]
    section_text: str = ""


def explain_request(request_id: str, lines: Iterable[LogLine]) -> Explanation:
    """Collect the log lines about a request; missing data is reported, never guessed.

    :param lines: log lines of any number of processes, in any order.
    """
    matching = [line for line in lines if _matches_request(line, request_id)]
    matching.sort(key=lambda line: line.get("hlc", 0))
    unique = {(line.get("task_uuid"), line.get("hlc")): line for line in matching}
    remarks = []
    if len(unique) < len(matching):
        remarks.append(f"{len(matching) - len(unique)} duplicate log lines ignored")
    hops = [_parse_hop(line) for line in unique.values()]
    remarks += _find_missing_lines(hops)
    ran, contradictions = _classify_outcome(hops)
    remarks += contradictions
    return Explanation(request_id, bool(hops), ran, hops, remarks)


def _matches_request(line: LogLine, request_id: str) -> bool:
    is_request = line.get("message_type") == "request"
    return is_request and line.get("request_id") == request_id


def _parse_hop(line: LogLine) -> Hop:
    return Hop(
        hop=line.get("hop", "?"),
        at=format_timestamp(line.get("hlc", 0)),
        instance=line.get("instance", "?"),
        zone=line.get("zone", "?"),
        version=line.get("version", 0),
        digest=line.get("digest", ""),
        section=line.get("section", ""),
        route=line.get("route", ""),
        status=line.get("status", 0),
        outcome=line.get("outcome", UNKNOWN),
        error=line.get("error", ""),
        complete=line.get("complete", False),
        attempts=line.get("attempts", []),
    )


def _find_missing_lines(hops: list[Hop]) -> list[str]:
    """Return a remark for each line that is missing according to the other hop.

    Each attempt at another instance is logged by its entry and by its owner. Only the
    line of an owner may be absent, if the attempt did not run.
    """
    entries = [hop for hop in hops if hop.hop == "entry"]
    owners = [hop for hop in hops if hop.hop == "owner"]
    logged = {attempt["key"] for hop in owners for attempt in hop.attempts}
    sent = {attempt["key"]: hop for hop in entries for attempt in hop.attempts}
    remarks = []
    for key, hop in sent.items():
        attempt = next(item for item in hop.attempts if item["key"] == key)
        remote = attempt["upstream"] != hop.instance
        if remote and key not in logged and attempt["outcome"] != NOT_RUN:
            remarks.append(
                f"the line of {attempt['upstream']} for attempt {key} is missing"
            )
    for hop in owners:
        unmatched = [item["key"] for item in hop.attempts if item["key"] not in sent]
        for key in unmatched:
            remarks.append(
                f"the entry line for attempt {key} at {hop.instance} is missing"
            )
    return remarks


def _classify_outcome(hops: list[Hop]) -> tuple[str, list[str]]:
    """Return whether the request ran, and remarks on contradictions.

    The first that applies: contradicting if the hops disagree about an attempt, ran if
    an attempt ran, unknown if the outcome of an attempt is unknown, otherwise not run.
    """
    by_attempt: dict[str, dict[str, str]] = {}
    for hop in hops:
        for attempt in hop.attempts:
            by_hop = by_attempt.setdefault(attempt["key"], {})
            by_hop[hop.hop] = attempt["outcome"]
    remarks, outcomes = [], set()
    for key, by_hop in by_attempt.items():
        known = set(by_hop.values()) - {UNKNOWN}
        if len(known) > 1:
            remarks.append(f"attempt {key}: hops contradict each other: {by_hop}")
            outcomes.add("contradicting")
        else:
            outcomes.add(known.pop() if known else UNKNOWN)
    versions = {(hop.version, hop.digest) for hop in hops if hop.digest}
    if len(versions) > 1:
        numbers = sorted(version for version, _ in versions)
        remarks.append(
            f"more than one version governed requests with this id: {numbers}"
        )
    if not by_attempt:
        return (NOT_RUN if hops else UNKNOWN), remarks
    for outcome in ("contradicting", RAN, UNKNOWN):
        if outcome in outcomes:
            return outcome, remarks
    return NOT_RUN, remarks


def _add_section_text(explanation: Explanation, folder: Path) -> None:
    """Add the text of the governing section, checked by its digest in the manifest."""
    hop = next((hop for hop in explanation.hops if hop.section), None)
    if hop is None:
        return
    manifest = _find_manifest(folder, hop.digest)
    if manifest is None:
        explanation.remarks.append(f"{folder}: no manifest with digest {hop.digest}")
        return
    digest = manifest["sections"].get(hop.section, "")
    for path in sorted(folder.rglob("*.toml")):
        text = path.read_bytes()
        if content_digest(text) == digest:
            explanation.section_text = text.decode()
            return
    explanation.remarks.append(
        f"{folder}: no text of section {hop.section!r} with digest {digest}"
    )


def _find_manifest(folder: Path, digest: str) -> dict | None:
    """Return the manifest with a digest, ``None`` if no JSON file contains it.

    The digest is that of the canonical text, which has no newline at the end; the files
    may have one.
    """
    for path in sorted(folder.rglob("*.json")):
        data = path.read_bytes().strip()
        if content_digest(data) == digest:
            return msgspec.json.decode(data)
    return None


def run_explain(
    request_id: str, paths: Iterable[str], document: str, as_json: bool
) -> int:
    """Print the explanation of a request and return the exit code.

    :param paths: log files or directories.
    :param document: directory with the section texts, empty to print no section.
    """
    explanation = explain_request(request_id, read_lines(paths, request_id))
    if document:
        _add_section_text(explanation, Path(document))
    if as_json:
        print(msgspec.json.encode(explanation).decode())
    else:
        print(render(explanation))
    return EXIT_FOUND if explanation.found else EXIT_NOT_FOUND


def render(explanation: Explanation) -> str:
    """Return the explanation as text."""
    if not explanation.found:
        return f"request {explanation.request_id}: no log line found"
    lines = [f"request {explanation.request_id}: {explanation.ran}"]
    for hop in explanation.hops:
        lines += _render_hop(hop)
    lines += [f"  remark: {remark}" for remark in explanation.remarks]
    if explanation.section_text:
        lines += ["  governing section:", explanation.section_text]
    return "\n".join(lines)


def _render_hop(hop: Hop) -> list[str]:
    policy = f"no route matched; version {hop.version} was current"
    if hop.route or hop.digest:
        digest = f" (digest {hop.digest[:12]})" if hop.digest else ""
        section = f"section {hop.section}, " if hop.section else ""
        policy = (
            f"governed by version {hop.version}{digest}, {section}route {hop.route}"
        )
    completeness = "complete" if hop.complete else "truncated"
    lines = [
        f"  {hop.at} {hop.hop} {hop.instance} ({hop.zone}): "
        f"status {hop.status}, {', '.join(filter(None, (hop.outcome, hop.error)))}, "
        f"{completeness}",
        f"    {policy}",
    ]
    for number, attempt in enumerate(hop.attempts, 1):
        lines.append(f"    attempt {number} at {_render_attempt(attempt)}")
    return lines


def _render_attempt(attempt: dict) -> str:
    """Return an attempt as text; the lines of nodes have other fields than proxies'."""
    parts = [f"{attempt['upstream']}: {attempt['outcome']}"]
    if error := attempt.get("error") or attempt.get("kind"):
        parts.append(error)
    elif "status" in attempt:
        parts.append(f"status {attempt['status']}")
    duration = f" after {attempt['ms']} ms" if "ms" in attempt else ""
    return ", ".join(parts) + duration
