"""Entry point of ``python -m coralfall``: runs the command line.

``steer`` without options is run without importing typer. The import takes 0.1 s, by which callers
would have to wait longer for an entry that starts.
"""

import sys


def main() -> None:
    """Runs the command line."""
    if sys.argv[1:] == ["steer"]:
        from .process.signals import early

        early.hold()
        from .exceptions import CoralfallError
        from .platform.run import run_steer
        from .process.end import end_process

        try:
            end_process(run_steer())
        except CoralfallError as error:
            print(f"coralfall: {error.code}: {error.message}", file=sys.stderr)
            sys.exit(1)
    from .cli import main as run_command_line

    run_command_line()


if __name__ == "__main__":
    main()
