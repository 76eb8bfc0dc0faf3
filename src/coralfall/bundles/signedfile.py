"""A signed file: what author and approver pass to each other and then submit."""

import os
import pathlib
import typing as t

import msgspec

from ..exceptions import BundleError, Fault
from ..ids import Digest
from ..lookups.chunks import decode_page
from . import rules, signing
from .bundle import Bundle, Model, SignedBundle, digest_of, encode
from .draft import LoadedDraft

#: Ending of the names of signed files.
SUFFIX = ".signed"


class SignedFile(Model, frozen=True):
    """A signed bundle with the objects of its block table."""

    signed: SignedBundle
    #: Pages and chunks of the block table.
    objects: t.Dict[Digest, bytes] = {}

    def bundle(self) -> Bundle:
        """The bundle, whose signatures are not looked at."""
        return signing.decode_payload(self.signed.payload)

    def digest(self) -> Digest:
        """Digest that heads name this signed bundle by."""
        return digest_of(encode(self.signed))


def from_draft(draft: LoadedDraft) -> SignedFile:
    """A file that nobody has signed yet."""
    return SignedFile(signed=SignedBundle(payload=encode(draft.bundle)), objects=draft.objects)


def add_signature(file: SignedFile, role: signing.Role, key: signing.Key) -> SignedFile:
    """``file`` with one signature more.

    :raises BundleError: if its bundle breaks a rule.
    :raises SignatureError: if the other role was signed by the same key.
    """
    rules.require(file.bundle())
    return msgspec.structs.replace(file, signed=signing.sign(file.signed, role, key))


def read_signed_file(path: pathlib.Path) -> SignedFile:
    """The signed file at ``path``.

    :raises BundleError: if it can't be read, or is not a signed file.
    :raises SignatureError: if what is signed is not a bundle.
    """
    try:
        file = msgspec.msgpack.decode(path.read_bytes(), type=SignedFile)
    except OSError as error:
        raise _unusable(path, "unreadable", f"can't be read: {error.strerror}") from error
    except (msgspec.MsgspecError, ValueError) as error:
        message = f"is not a signed file ({error}); make one by `coralfall bundle sign`"
        raise _unusable(path, "malformed", message) from error
    for digest, data in file.objects.items():
        if digest_of(data) != digest:
            raise _unusable(
                path, "wrong-object", f"object {digest} has other bytes; sign the draft anew"
            )
    for digest in _named_objects(file):
        if digest not in file.objects:
            raise _unusable(path, "missing-object", f"lacks object {digest}; sign the draft anew")
    return file


def _named_objects(file: SignedFile) -> t.Iterator[Digest]:
    for page in file.bundle().chunks:
        yield page.digest
        for chunk in decode_page(file.objects[page.digest]):
            yield chunk.digest


def write_signed_file(path: pathlib.Path, file: SignedFile) -> None:
    """Write ``file`` to ``path``, whole or not at all.

    :raises BundleError: if it can't be written.
    """
    partial = path.with_name(path.name + ".partial")
    try:
        partial.write_bytes(encode(file))
        os.replace(partial, path)
    except OSError as error:
        raise _unusable(path, "not-written", f"can't be written: {error.strerror}") from error


def _unusable(path: pathlib.Path, code: str, message: str) -> BundleError:
    return rules.bundle_error(str(path), [Fault("", code, message)])
