"""Entry point of the command line."""

__all__ = ["main"]

import gc
import signal
import sys

EXIT_INTERRUPTED = 130
# Net allocations that trigger a garbage collection while the program is loaded, which
# creates many objects and hardly any garbage.
GC_THRESHOLD = 10_000


def main() -> None:
    """Run the command line; an interrupt exits without a traceback.

    The reload signal (SIGHUP) is ignored until the program is loaded: its default
    action would terminate the process, and the settings have not been read yet.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.set_threshold(GC_THRESHOLD)
    try:
        from ragwortferry.cli import main as run_command

        run_command()
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)


if __name__ == "__main__":
    main()
