"""The commands ``coralfall keys ...``: signing keys of operators, and the fleet's key."""

import pathlib
import typing as t

import typer

from ..ids import KeyId
from ..reporting.terminal import JsonOption, reporting, show

app = typer.Typer(
    help="Signing keys of operators, and the fleet's shared key.", no_args_is_help=True
)


@app.command()
def new(
    path: t.Annotated[pathlib.Path, typer.Argument(help="File to write the private key to.")],
    key_id: t.Annotated[str, typer.Option("--id", help="Name of the key in trust files.")],
    as_json: JsonOption = False,
) -> None:
    """Make a signing key: the private half goes to PATH (mode 0600), the public is printed."""
    with reporting(as_json):
        from ..exceptions import Fault
        from . import rules, signing

        if not rules.is_id(key_id):
            fault = Fault("key_id", "bad-id", f"found {key_id!r}; {rules.ID_RULE}")
            raise rules.bundle_error("new key", [fault])
        public_key = signing.new_key(path, KeyId(key_id))
        value = {"key_id": key_id, "public_key": public_key, "file": str(path)}
        show(value, [f'{key_id} = "{public_key}"'], as_json)


@app.command()
def fleet(
    path: t.Annotated[pathlib.Path, typer.Argument(help="File to write the key to.")],
    as_json: JsonOption = False,
) -> None:
    """Make the key that all entries share: it goes to PATH (mode 0600) and is not printed."""
    with reporting(as_json):
        from ..peering.fleetkey import new_fleet_key

        new_fleet_key(path)
        text = f"wrote {path}; put it on every entry VM, where peers.fleet_key_file names it"
        show({"file": str(path)}, [text], as_json)
