"""Row codec: the interface that converts between rows of the platform's store and the model."""

import abc
import typing as t

if t.TYPE_CHECKING:
    from ..ids import RegionId, ZoneId
    from .model import DesiredState, EntryRecord, Target


class LookupQuery(t.NamedTuple):
    """A caller's look-up: the host that it wants to reach, and where it is itself."""

    host: str
    region: "RegionId"
    zone: "ZoneId"


class Evacuation(t.NamedTuple):
    """An operator's order that a zone's targets get no more requests."""

    zone: "ZoneId"


StateRow = t.Union["DesiredState", Evacuation, None]


class RowCodec(abc.ABC):
    """Encodes and decodes the platform's rows; all methods raise ``DesiredStateError``.

    A subclass defines the format of the rows, for example JSON of the model::

        class JsonRowCodec(RowCodec):
            state_prefix = "state/"
            target_prefix = "targets/"
            entry_prefix = "entries/"

            def decode_state_row(self, key, data):
                return msgspec.json.decode(data, type=DesiredState)
            ...
    """

    #: Prefixes of the rows' keys: desired state, targets, and the entries' own rows.
    state_prefix: str
    target_prefix: str
    entry_prefix: str

    @abc.abstractmethod
    def decode_state_row(self, key: str, data: bytes) -> StateRow:
        """Decodes a row below :attr:`state_prefix`; ``None`` if entries have no use for it."""

    @abc.abstractmethod
    def decode_target_row(self, key: str, data: bytes) -> "Target":
        """Decodes a row below :attr:`target_prefix`."""

    @abc.abstractmethod
    def target_order(self, data: bytes) -> t.Tuple[int, int]:
        """Returns a target row's lifetime and heartbeat: later rows of a target have higher ones.

        The row is one that :meth:`decode_target_row` has decoded.
        """

    @abc.abstractmethod
    def encode_entry_row(self, record: "EntryRecord") -> t.Tuple[str, bytes]:
        """Returns the key and the bytes of an entry's own row."""

    @abc.abstractmethod
    def decode_entry_row(self, key: str, data: bytes) -> "EntryRecord":
        """Decodes a row below :attr:`entry_prefix`."""
