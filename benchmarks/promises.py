"""Checks of the guarantees to callers and upstreams that hold under any fault.

They compare what callers received with what upstreams ran.
"""

__all__ = ["Call", "Findings", "check_calls", "check_versions"]

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from standins.mesh import Machine, Mesh

# Statuses that guarantee that the request has not run and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Tolerance after the deadline of a request until its response.
MAX_LATENESS_S = 0.5
# Time after a disconnect within which the request may still start at an upstream.
MAX_CANCEL_DELAY_S = 0.5
# Requests of disconnected callers that may start later than that.
MAX_LATE_RUNS = 3
# Limit of the routes in the configuration of the soak.
MAX_ATTEMPTS = 2
MAX_EXAMPLES = 5


@dataclass(slots=True)
class Call:
    """A request and the response that its caller received.

    :param entry: name of the machine that it was sent to.
    :param at_most_once: whether it may run only once, since it is not idempotent.
    :param sent: method, path and body, as an upstream must receive them.
    :param seconds: time until the response or the failure.
    :param signature: name of the upstream according to the response.
    :param echoed_id: request id according to the response.
    :param disturbed: whether the entry was paused, stopped or killed meanwhile.
    :param killed: whether the entry was killed meanwhile.
    :param disconnected_at: monotonic time at which the caller disconnected before its
        response, 0 if it did not.
    :param ended: whether the caller has stopped waiting.
    :param truncated: whether the response broke off.
    :param behind_truncated: whether this or an earlier response on the connection
        broke off.
    :param limited: whether the response named a limit of its upstream.
    :param leaving: whether the response said that its upstream is leaving.
    """

    request_id: str
    entry: str
    zone: str
    at_most_once: bool
    sent: tuple[str, str, bytes]
    started_at: float
    deadline_s: float
    seconds: float = 0.0
    status: int = 0
    body: bytes = b""
    signature: str = ""
    echoed_id: str = ""
    disturbed: bool = False
    killed: bool = False
    disconnected_at: float = 0.0
    ended: bool = False
    truncated: bool = False
    behind_truncated: bool = False
    limited: bool = False
    leaving: bool = False


@dataclass
class Findings:
    """Number of violations by guarantee, with the first examples of each."""

    violations: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)

    def record_violation(self, guarantee: str, example: object) -> None:
        """Count a violation."""
        self.violations[guarantee] += 1
        if self.violations[guarantee] <= MAX_EXAMPLES:
            self.examples.append(f"{guarantee}: {example}")


def check_calls(mesh: Mesh, calls: Iterable[Call], findings: Findings) -> None:
    """Compare what callers received with what upstreams ran.

    :param calls: all requests that were sent, including those in flight.
    """
    runs: Counter[str] = Counter()
    ran_by: dict[str, list[Machine]] = defaultdict(list)
    for machine in mesh.machines:
        runs.update(machine.upstream.runs)
        for request_id in machine.upstream.runs:
            ran_by[request_id].append(machine)
    calls_by_id = {call.request_id: call for call in calls}
    for request_id in runs.keys() - calls_by_id.keys():
        findings.record_violation("nothing runs that nobody sent", request_id)
    services = {m.name: m.upstream.service for m in mesh.machines}
    late_runs = 0
    for call in calls_by_id.values():
        run_count = runs[call.request_id]
        endless = any(
            machine.upstream.endless_bytes[call.request_id]
            for machine in ran_by[call.request_id]
        )
        _check_run_count(call, run_count, endless, findings)
        if call.ended:
            _check_response(call, ran_by[call.request_id], findings)
            _check_time(call, findings)
        for machine in ran_by[call.request_id]:
            upstream = machine.upstream
            if upstream.received[call.request_id] != call.sent:
                findings.record_violation("requests arrive unchanged", call)
            if upstream.callers[call.request_id] != services[call.entry]:
                findings.record_violation("the caller's service is true", call)
            started_at = upstream.started_at[call.request_id]
            late_runs += (
                bool(call.disconnected_at)
                and started_at > call.disconnected_at + MAX_CANCEL_DELAY_S
            )
    if late_runs > MAX_LATE_RUNS:
        findings.record_violation("nothing runs for callers that left", late_runs)


def _check_run_count(
    call: Call, run_count: int, endless: bool, findings: Findings
) -> None:
    """Check how often a request ran.

    :param endless: whether an upstream responded without end, so that no response can
        be complete.
    """
    if call.at_most_once and run_count > 1:
        findings.record_violation("at most once", f"{run_count} runs of {call}")
    if call.status in NOT_RUN_STATUSES and run_count and call.at_most_once:
        findings.record_violation("not run is true", f"{run_count} runs of {call}")
    if run_count > MAX_ATTEMPTS:
        findings.record_violation(
            "at most as many attempts as allowed", f"{run_count}: {call}"
        )
    unanswered = call.ended and call.status == 0 and not call.disconnected_at
    broken_off = endless and call.truncated or call.behind_truncated
    if unanswered and run_count and not call.killed and not broken_off:
        findings.record_violation("a request that runs gets an answer", call)


def _check_response(call: Call, machines: list[Machine], findings: Findings) -> None:
    if call.status != 200:
        return
    expected = {machine.upstream.name: machine.upstream for machine in machines}
    upstream = expected.get(call.signature)
    if upstream is None or call.echoed_id != call.request_id:
        findings.record_violation("an answer is that of the request", call)
    elif call.body != upstream.response_body(call.request_id):
        findings.record_violation(
            "an answer is whole", f"{len(call.body)} bytes: {call}"
        )


def _check_time(call: Call, findings: Findings) -> None:
    if call.disturbed or call.disconnected_at:
        return
    if call.seconds > call.deadline_s + MAX_LATENESS_S:
        findings.record_violation("each request is answered by its deadline", call)


def check_versions(mesh: Mesh, findings: Findings) -> None:
    """Check that versions never decrease in a process and each has one content."""
    digests: dict[int, str] = {}
    for machine in mesh.machines:
        last, incarnation = 0, ""
        for line in mesh.events(machine, "enforced"):
            if line["task_uuid"] != incarnation:
                last, incarnation = 0, line["task_uuid"]
            version, digest = line["version"], line["digest"]
            if version <= last:
                findings.record_violation("never back", (machine.name, version, last))
            if digests.setdefault(version, digest) != digest:
                findings.record_violation(
                    "one content a version", f"{machine.name}: {version}"
                )
            last = version
