"""Runs a node and samples which functions use its processor time.

The signal SIGUSR1 ends a phase: the samples since the last one are appended to the file
that the environment variable ``NODE_SAMPLES`` names, as a line with a JSON object from
``"module:function"`` to a count.
"""

__all__ = ["main"]

import json
import os
import signal
import sys
from collections import Counter
from pathlib import Path

# Processor time between two samples.
SAMPLE_INTERVAL_S = 0.002
PACKAGE = "ragwortferry."


def _record(samples: Counter, frame) -> None:
    """Count the innermost function of this package and the innermost of any."""
    while frame is not None:
        module = frame.f_globals.get("__name__", "")
        if module.startswith(PACKAGE):
            samples[f"{module}:{frame.f_code.co_name}"] += 1
            return
        frame = frame.f_back
    samples["event loop and start"] += 1


def _end_phase(samples: Counter, path: Path) -> None:
    """Append the samples to the file and start again."""
    with path.open("a") as file:
        file.write(json.dumps(samples) + "\n")
    samples.clear()


def main() -> None:
    """Start to sample, then run the command line of the program."""
    samples: Counter[str] = Counter()
    path = Path(os.environ["NODE_SAMPLES"])
    signal.signal(signal.SIGPROF, lambda _, frame: _record(samples, frame))
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)
    signal.signal(signal.SIGUSR1, lambda *_: _end_phase(samples, path))
    from ragwortferry.__main__ import main as run_program

    sys.argv[0] = "ragwortferry"
    run_program()


if __name__ == "__main__":
    main()
