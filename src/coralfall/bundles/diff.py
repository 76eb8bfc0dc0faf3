"""What differs between two bundles, by dotted path, in a form that an operator reads."""

import typing as t

import msgspec

from .bundle import Bundle, ChunkRef, digest_of, short_digest


class Change(msgspec.Struct, frozen=True):
    """One place where two bundles differ."""

    path: str
    kind: t.Literal["added", "removed", "changed"]
    #: Value in the old bundle; ``None`` if added.
    old: t.Any = None
    #: Value in the new bundle; ``None`` if removed.
    new: t.Any = None

    def text(self) -> str:
        """One line: a sign, the path, and the values."""
        if self.kind == "added":
            return f"+ {self.path} = {_show(self.new)}"
        if self.kind == "removed":
            return f"- {self.path} = {_show(self.old)}"
        return f"~ {self.path}: {_show(self.old)} -> {_show(self.new)}"


def diff_bundles(old: Bundle, new: Bundle) -> t.List[Change]:
    """Changes from ``old`` to ``new`` in the order of their paths.

    A region, service, target or site that only one of them has is one change. That the block
    tables differ is one change as well; :mod:`coralfall.bundles.blockdiff` says by which blocks.
    """
    changes = diff_values("", _plain(old), _plain(new))
    return sorted(changes, key=lambda change: change.path)


def _plain(bundle: Bundle) -> t.Dict[str, t.Any]:
    raw: t.Dict[str, t.Any] = msgspec.to_builtins(bundle)
    del raw["chunks"]
    raw["blocks"] = _describe_blocks(bundle.chunks)
    return raw


def _describe_blocks(chunks: t.Sequence[ChunkRef]) -> str:
    if not chunks:
        return "none"
    count = sum(chunk.blocks for chunk in chunks)
    digest = digest_of(msgspec.msgpack.encode(chunks))
    return f"{count} ({short_digest(digest)})"


def diff_values(path: str, old: t.Any, new: t.Any) -> t.List[Change]:
    """Changes from ``old`` to ``new``; mappings are compared key by key, in no certain order.

    :param path: dotted path of both within their bundles.
    """
    if not (isinstance(old, dict) and isinstance(new, dict)):
        return [] if old == new else [Change(path, "changed", old, new)]
    changes: t.List[Change] = []
    for name in {**old, **new}:
        below = f"{path}.{name}" if path else str(name)
        if name not in new:
            changes.append(Change(below, "removed", old=old[name]))
            continue
        if name not in old:
            changes.append(Change(below, "added", new=new[name]))
            continue
        changes += diff_values(below, old[name], new[name])
    return changes


def _show(value: t.Any) -> str:
    return msgspec.json.encode(value).decode("utf-8")
