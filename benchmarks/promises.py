"""What callers and upstreams must see whatever fails, checked on what they saw."""

__all__ = ["Call", "Findings", "check_calls", "check_versions"]

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from standins.mesh import Machine, Mesh

# Statuses that say that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Seconds beyond its deadline by which a request must be answered.
LATE_S = 0.5
# Seconds after a caller has left within which its request may still reach an upstream.
LEFT_S = 0.5
# Requests of callers that have left which may reach an upstream later than that.
FEW = 3
# Attempts that the routes allow.
MAX_ATTEMPTS = 2
SHOWN = 5


@dataclass(slots=True)
class Call:
    """One request and what its caller got.

    :param entry: name of the machine that it was sent to.
    :param sent: what was sent, as an upstream sees it: method, path and body.
    :param disturbed: whether the entry was paused, stopped or killed meanwhile.
    :param killed: whether the entry was killed meanwhile.
    :param left_at: monotonic time at which the caller gave up, 0 if it did not.
    :param ended: whether its caller waits no more.
    """

    request_id: str
    entry: str
    zone: str
    once: bool
    sent: tuple[str, str, bytes]
    began: float
    deadline_s: float
    seconds: float = 0.0
    status: int = 0
    body: bytes = b""
    signature: str = ""
    echoed: str = ""
    disturbed: bool = False
    killed: bool = False
    left_at: float = 0.0
    ended: bool = False


@dataclass
class Findings:
    """Violations by promise, with the first examples."""

    violations: Counter[str] = field(default_factory=Counter)
    examples: list[str] = field(default_factory=list)

    def violate(self, promise: str, example: object) -> None:
        """Count a violation."""
        self.violations[promise] += 1
        if self.violations[promise] <= SHOWN:
            self.examples.append(f"{promise}: {example}")


def check_calls(mesh: Mesh, calls: Iterable[Call], findings: Findings) -> None:
    """Compare what callers got with what upstreams ran.

    :param calls: all that were sent, also those that have not ended yet.
    """
    runs: Counter[str] = Counter()
    ran_by: dict[str, list[Machine]] = defaultdict(list)
    for machine in mesh.machines:
        runs.update(machine.upstream.runs)
        for request_id in machine.upstream.runs:
            ran_by[request_id].append(machine)
    known = {call.request_id: call for call in calls}
    for request_id in runs.keys() - known.keys():
        findings.violate("nothing runs that nobody sent", request_id)
    services = {m.name: m.upstream.service for m in mesh.machines}
    late_runs = 0
    for call in known.values():
        count = runs[call.request_id]
        _check_count(call, count, findings)
        if call.ended:
            _check_answer(call, ran_by[call.request_id], findings)
            _check_time(call, findings)
        for machine in ran_by[call.request_id]:
            upstream = machine.upstream
            if upstream.received[call.request_id] != call.sent:
                findings.violate("requests arrive unchanged", call)
            if upstream.callers[call.request_id] != services[call.entry]:
                findings.violate("the caller's service is true", call)
            began = upstream.began[call.request_id]
            late_runs += bool(call.left_at) and began > call.left_at + LEFT_S
    if late_runs > FEW:
        findings.violate("nothing runs for callers that left", late_runs)


def _check_count(call: Call, count: int, findings: Findings) -> None:
    if call.once and count > 1:
        findings.violate("at most once", f"{count} runs of {call}")
    if call.status in NOT_RUN_STATUSES and count and call.once:
        findings.violate("not run is true", f"{count} runs of {call}")
    if count > MAX_ATTEMPTS:
        findings.violate("at most as many attempts as allowed", f"{count}: {call}")
    lost = call.ended and call.status == 0 and not call.left_at
    if lost and count and not call.killed:
        findings.violate("a request that runs gets an answer", call)


def _check_answer(call: Call, machines: list[Machine], findings: Findings) -> None:
    if call.status != 200:
        return
    expected = {machine.upstream.name: machine.upstream for machine in machines}
    upstream = expected.get(call.signature)
    if upstream is None or call.echoed != call.request_id:
        findings.violate("an answer is that of the request", call)
    elif call.body != upstream.response_body(call.request_id):
        findings.violate("an answer is whole", f"{len(call.body)} bytes: {call}")


def _check_time(call: Call, findings: Findings) -> None:
    if call.disturbed or call.left_at:
        return
    if call.seconds > call.deadline_s + LATE_S:
        findings.violate("each request is answered by its deadline", call)


def check_versions(mesh: Mesh, findings: Findings) -> None:
    """Check that no process went back and that a version has one content."""
    digests: dict[int, str] = {}
    for machine in mesh.machines:
        last, incarnation = 0, ""
        for line in mesh.events(machine, "enforced"):
            if line["task_uuid"] != incarnation:
                last, incarnation = 0, line["task_uuid"]
            version, digest = line["version"], line["digest"]
            if version <= last:
                findings.violate("never back", (machine.name, version, last))
            if digests.setdefault(version, digest) != digest:
                findings.violate("one content a version", f"{machine.name}: {version}")
            last = version
