"""Entry point of the program."""

__all__ = ["main"]

from ragwortferry.cli import main

if __name__ == "__main__":
    main()
