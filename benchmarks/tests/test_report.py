from dataclasses import dataclass

from benchmarks.figures import Figures, Sample, read_figures, second_of, write_figures
from benchmarks.report import page


@dataclass
class FakeCall:
    status: int
    seconds: float
    zone: str


def _figures() -> Figures:
    calls = [FakeCall(200, 0.01 * n, "a") for n in range(1, 101)]
    calls += [
        FakeCall(503, 0.002, "b"),
        FakeCall(502, 0.4, "b"),
        FakeCall(200, 0.05, "b"),
    ]
    calls.append(FakeCall(0, 1.0, "c"))
    return Figures("soak <1>", [second_of(0, calls)], [Sample(0.5, 3, 4)])


def test_statistics_of_a_second_count_each_kind_of_response():
    (second,) = _figures().seconds
    assert (second.served, second.refused, second.failed) == (101, 1, 2)
    assert 490 < second.p50_ms < 510
    assert 980 < second.p99_ms < 1010
    assert second.served_by_zone == {"a": 1.0, "b": 1 / 3, "c": 0.0}


def test_percentiles_are_zero_if_no_request_was_served():
    second = second_of(7, [FakeCall(503, 0.1, "a")])
    assert (second.served, second.p50_ms, second.p99_ms) == (0, 0.0, 0.0)


def test_report_has_all_charts_and_escapes_its_title(tmp_path):
    path = tmp_path / "figures.json"
    write_figures(path, _figures())
    text = page(read_figures(path))
    assert text.count("<svg") == 4
    assert "soak &lt;1&gt;" in text
    for name in ("served", "refused", "failed", "p50", "p99", "oldest", "newest"):
        assert f">{name}<" in text
