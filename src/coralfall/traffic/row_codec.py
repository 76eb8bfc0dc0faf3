"""What stands between the product's words and those of the platform that it runs on."""

import abc
import typing as t

if t.TYPE_CHECKING:
    from ..ids import RegionId, ZoneId
    from .model import DesiredState, EntryRecord, Target


class LookupQuery(t.NamedTuple):
    """Who asks where to connect."""

    host: str
    region: "RegionId"
    zone: "ZoneId"


class Evacuation(t.NamedTuple):
    """The wish that a zone's targets get nothing more."""

    zone: "ZoneId"


StateRow = t.Union["DesiredState", Evacuation, None]


class RowCodec(abc.ABC):
    """Reads and writes the platform's rows; all methods raise ``DesiredStateError``.

    Write your own for rows that the product encodes itself::

        class JsonRowCodec(Translator):
            state_prefix = "state/"
            target_prefix = "targets/"
            entry_prefix = "entries/"

            def state_row(self, key, data):
                return msgspec.json.decode(data, type=DesiredState)
            ...
    """

    #: Prefixes of the keys of the rows: desired state, targets, and the entries' own.
    state_prefix: str
    target_prefix: str
    entry_prefix: str

    @abc.abstractmethod
    def decode_state_row(self, key: str, data: bytes) -> StateRow:
        """What a row below :attr:`state_prefix` says; ``None`` if it concerns nobody here."""

    @abc.abstractmethod
    def decode_target_row(self, key: str, data: bytes) -> "Target":
        """What a row below :attr:`target_prefix` says."""

    @abc.abstractmethod
    def encode_entry_row(self, record: "EntryRecord") -> t.Tuple[str, bytes]:
        """Key and bytes of an entry's own row."""

    @abc.abstractmethod
    def decode_entry_row(self, key: str, data: bytes) -> "EntryRecord":
        """The entry that a row tells of."""
