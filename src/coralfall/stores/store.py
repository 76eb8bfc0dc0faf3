"""What coralfall needs of the platform: a table, an object store and a list of VMs."""

import abc
import typing as t

import msgspec

from ..ids import Digest, Era, Position, Revision, VmId, VmState, ZoneId


class Row(msgspec.Struct, frozen=True):
    """A row as last written; ``value`` is ``None`` if the write deleted it."""

    key: str
    value: t.Optional[bytes]
    revision: Revision
    #: Era of the table that a read found it in.
    era: Era = Era(0)


class Write(msgspec.Struct, frozen=True):
    """One row to write within a transaction."""

    key: str
    #: ``None`` deletes the row.
    value: t.Optional[bytes]
    #: Revision the row must have, 0 for "absent", ``None`` for any.
    expected: t.Optional[Revision] = None


class Check(msgspec.Struct, frozen=True):
    """A row that a transaction does not write but that must have this revision."""

    key: str
    expected: Revision


class TransactResult(msgspec.Struct, frozen=True):
    """What became of a transaction: all of it took effect, or none."""

    committed: bool
    #: Table's revision after the call.
    revision: Revision
    #: Rows that did not have the expected revision, as they are.
    conflicts: t.Tuple[Row, ...]
    #: Platform's wall time in seconds.
    now: float
    era: Era = Era(0)


class Changes(msgspec.Struct, frozen=True):
    """Rows written since a revision, each in its last state, deletions included."""

    rows: t.Tuple[Row, ...]
    #: Pass this as ``since`` of the next call.
    revision: Revision
    now: float
    #: Whether ``limit`` cut the answer short.
    more: bool = False
    #: Era that ``revision`` and those of the rows belong to.
    era: Era = Era(0)
    #: Whether these are all rows that exist, since the caller's revision was of an earlier era.
    is_snapshot: bool = False

    @property
    def position(self) -> Position:
        """Position as of which these are the rows."""
        return Position(self.era, self.revision)


class Vm(msgspec.Struct, frozen=True):
    """One line of the platform's VM list."""

    vm_id: VmId
    zone: ZoneId
    state: VmState


class Table(abc.ABC):
    """A transactional table.

    Write your own by keeping rows in a dict and counting revisions::

        class DictTable(Table):
            async def transact(self, writes, checks=()): ...
            async def changes(self, prefixes, since, limit=None): ...
            async def read(self, keys): ...

    Both raise :class:`~coralfall.exceptions.PlatformUnavailableError` if nothing was done,
    and ``transact`` raises :class:`~coralfall.exceptions.PlatformUnknownError` if the answer
    was lost.
    """

    @abc.abstractmethod
    async def transact(
        self, writes: t.Sequence[Write], checks: t.Sequence[Check] = ()
    ) -> TransactResult:
        """Write all rows, or none if one row has another revision than expected.

        All rows of a transaction get one revision: that of the result.
        """

    @abc.abstractmethod
    async def changes(
        self, prefixes: t.Sequence[str], since: Revision, limit: t.Optional[int] = None
    ) -> Changes:
        """Rows whose key starts with one of ``prefixes`` written after ``since``.

        :param prefixes: at least one.
        :param since: revision of an earlier answer, 0 for all rows.
        :param limit: answer with the oldest writes alone once there are more than this
            many; rows of one transaction are never parted.
        :return: rows in the order of their revisions.
        """

    @abc.abstractmethod
    async def read(self, keys: t.Sequence[str]) -> t.Dict[str, Row]:
        """The rows that exist among ``keys``, by key."""


class Feed(abc.ABC):
    """Follows the rows below a prefix.

    Write your own over anything that counts its writes::

        class DictFeed(Feed):
            async def snapshot(self, prefix): ...
            async def follow(self, prefix, since, wait_s): ...

    Both raise :class:`~coralfall.exceptions.PlatformUnavailableError` if no answer came.
    """

    @abc.abstractmethod
    async def snapshot(self, prefix: str) -> Changes:
        """All rows below ``prefix`` that exist, as of the answer's revision."""

    @abc.abstractmethod
    async def follow(self, prefix: str, since: Revision, wait_s: float) -> Changes:
        """Rows written after ``since``, deletions included, as soon as there is one.

        :param wait_s: seconds after which the answer comes without rows.
        :raises HistoryLostError: if what followed ``since`` is no longer known; take a snapshot.
        """


class ObjectStore(abc.ABC):
    """A store of immutable bytes by digest."""

    @abc.abstractmethod
    async def put(self, digest: Digest, data: bytes) -> None:
        """Keep ``data``; repeating the call does no harm."""

    @abc.abstractmethod
    async def get(self, digest: Digest) -> bytes:
        """The bytes; raises :class:`~coralfall.exceptions.ObjectMissingError`."""


class VmList(abc.ABC):
    """The platform's list of VMs, which lags behind reality."""

    @abc.abstractmethod
    async def list(self) -> t.Dict[VmId, Vm]:
        """Live and leaving VMs by id; a VM that is gone is absent."""


class Platform(t.NamedTuple):
    """The platform's three services, as one value to pass on."""

    table: Table
    objects: ObjectStore
    vms: VmList
