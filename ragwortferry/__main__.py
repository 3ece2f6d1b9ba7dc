"""Entry point of the program."""

__all__ = ["main"]

import sys

EXIT_INTERRUPTED = 130


def main() -> None:
    """Run the command line; an interrupt while it loads ends it without a word."""
    try:
        from ragwortferry.cli import main as run_command

        run_command()
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)


if __name__ == "__main__":
    main()
