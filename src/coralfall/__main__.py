"""``python -m coralfall``: the command line.

An entry on the platform is started without typer, which would take a tenth of a second of a start
that callers wait for; ``coralfall steer`` does the same and takes options.
"""

import sys


def main() -> None:
    """Run the command line."""
    if sys.argv[1:] == ["steer"]:
        from .process.signals import early

        early.hold()
        from .exceptions import CoralfallError
        from .platform.run import run_steer

        try:
            sys.exit(run_steer())
        except CoralfallError as error:
            print(f"coralfall: {error.code}: {error.message}", file=sys.stderr)
            sys.exit(1)
    from .cli import main as run_command_line

    run_command_line()


if __name__ == "__main__":
    main()
