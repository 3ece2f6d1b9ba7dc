"""Entry point of the program."""

__all__ = ["main"]

import signal
import sys

EXIT_INTERRUPTED = 130


def main() -> None:
    """Run the command line; an interrupt while it loads ends it without a word.

    A signal to reload that comes before the program has loaded is ignored: it would end
    the process, and the settings are yet to be read.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        from ragwortferry.cli import main as run_command

        run_command()
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)


if __name__ == "__main__":
    main()
