"""Client blocks: address prefixes of callers, each steered to a site, read from CSV files."""

import csv
import enum
import io
import ipaddress
import pathlib
import socket
import typing as t

import msgspec

from ..exceptions import Fault
from ..ids import SiteId

#: An IPv6 block is no longer than this: a network of 64 bits is the smallest that is handed to
#: one customer, whose devices change the other 64 bits at will, and half an address saves
#: eight bytes a block in every entry.
MAX_IPV6_LENGTH = 64

_MAPPED_PREFIX = bytes(10) + b"\xff\xff"
_PACKED_IPV6_BYTES = 16
_IPV6_BITS = 128
_HEADER = ["prefix", "site"]


class Family(enum.IntEnum):
    """Version of the internet protocol that an address belongs to."""

    IPV4 = 4
    IPV6 = 6


#: Bits of an address that the block table looks at, by family.
TABLE_BITS: t.Dict[Family, int] = {Family.IPV4: 32, Family.IPV6: MAX_IPV6_LENGTH}


class ClientAddress(t.NamedTuple):
    """A caller's address as the block table compares it."""

    family: Family
    #: The address's first 32 (IPv4) or 64 (IPv6) bits.
    bits: int


class Block(msgspec.Struct, frozen=True, gc=False):
    """A prefix of callers' addresses and the site that they are steered to."""

    family: Family
    #: The first 32 or 64 bits of the prefix; those past ``length`` are 0.
    network: int
    length: int
    site: SiteId

    def order(self) -> t.Tuple[int, int, int]:
        """Sort key: a block comes after the blocks that cover it."""
        return (self.family, self.network, self.length)

    def __str__(self) -> str:
        if self.family is Family.IPV4:
            return f"{ipaddress.IPv4Address(self.network)}/{self.length}"
        shifted = self.network << (_IPV6_BITS - MAX_IPV6_LENGTH)
        return f"{ipaddress.IPv6Address(shifted)}/{self.length}"


class ParsedBlocks(t.NamedTuple):
    """What became of block files: blocks in the order of the table, and all faults."""

    blocks: t.List[Block]
    faults: t.List[Fault]


class BlockFormatError(ValueError):
    """A prefix that is no block; ``code`` and the message go into a fault."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


def parse_address(text: str) -> ClientAddress:
    """A caller's address; an IPv4 address mapped into IPv6 counts as IPv4.

    :param text: the address as digits, without zone or port.
    :raises ValueError: if it is none.
    """
    # inet_pton is several times faster than ipaddress and refuses the same texts.
    if ":" not in text:
        return ClientAddress(Family.IPV4, int.from_bytes(_pack(socket.AF_INET, text), "big"))
    packed = _pack(socket.AF_INET6, text)
    if packed.startswith(_MAPPED_PREFIX):
        return ClientAddress(Family.IPV4, int.from_bytes(packed[12:], "big"))
    return ClientAddress(Family.IPV6, int.from_bytes(packed[:8], "big"))


def parse_prefix(text: str, site: SiteId) -> Block:
    """A block from its prefix as text.

    :param text: such as ``10.1.0.0/16`` or ``2001:db8::/48``.
    :param site: where its callers are steered to.
    :raises BlockFormatError: if the prefix is malformed, has bits set past its length, or is
        longer than a block may be.
    """
    address, separator, digits = text.partition("/")
    if not separator or not (digits.isascii() and digits.isdigit()):
        raise BlockFormatError("malformed", f"found {text!r}, allowed is address/length")
    family = Family.IPV6 if ":" in address else Family.IPV4
    length = _parse_length(text, digits, family)
    try:
        packed = _pack(socket.AF_INET6 if family is Family.IPV6 else socket.AF_INET, address)
    except ValueError as error:
        raise BlockFormatError("malformed", f"found {text!r}: {error}") from None
    bits = int.from_bytes(packed, "big")
    width = len(packed) * 8
    if bits & ((1 << (width - length)) - 1):
        network = ipaddress.ip_network(text, strict=False)
        raise BlockFormatError("host-bits-set", f"found {text!r}; did you mean {network}?")
    return Block(family, bits >> (width - TABLE_BITS[family]), length, site)


def parse_blocks(
    source: t.Union[str, pathlib.Path], sites: t.Container[SiteId], name: str = "blocks.csv"
) -> ParsedBlocks:
    """Blocks from lines of ``prefix,site``.

    Empty lines, lines that start with ``#`` and the heading ``prefix,site`` are passed over.

    :param source: the file, or its text.
    :param sites: sites that the bundle states.
    :param name: what faults call the text; a file goes by its own name.
    :return: blocks in the order of the table, and every fault with its line, such as
        ``blocks.csv:17``.
    """
    reader = BlockReader(sites)
    if isinstance(source, pathlib.Path):
        reader.read_file(source)
    else:
        reader.read_text(source, name)
    return reader.finish()


class BlockReader:
    """Reads block files one after another and finds what is wrong across all of them.

    :param sites: sites that the bundle states.
    """

    def __init__(self, sites: t.Container[SiteId]) -> None:
        self._sites = sites
        self._blocks: t.List[Block] = []
        self._faults: t.List[Fault] = []
        self._place_by_key: t.Dict[t.Tuple[int, int, int], t.Tuple[str, int]] = {}

    def read_file(self, path: pathlib.Path) -> None:
        """Take in one file; that it can't be read is a fault like any other."""
        try:
            text = path.read_text(encoding="utf-8-sig")
        except OSError as error:
            message = f"can't be read: {error.strerror or error}"
            self._faults.append(Fault(path.name, "unreadable", message))
            return
        except UnicodeDecodeError as error:
            self._faults.append(Fault(path.name, "syntax", f"is not UTF-8: {error}"))
            return
        self.read_text(text, path.name)

    def read_text(self, text: str, name: str) -> None:
        """Take in the lines of a text that faults call ``name``."""
        rows = csv.reader(io.StringIO(text), skipinitialspace=True, strict=True)
        while True:
            try:
                row = next(rows)
            except StopIteration:
                return
            except csv.Error as error:
                self._fault(name, rows.line_num, "syntax", str(error))
                continue
            self._read_row(row, name, rows.line_num)

    def finish(self) -> ParsedBlocks:
        """All blocks in the order of the table, and all faults in the order of the lines."""
        self._place_by_key.clear()
        self._blocks.sort(key=Block.order)
        return ParsedBlocks(self._blocks, self._faults)

    def _read_row(self, row: t.List[str], name: str, line: int) -> None:
        if not row or row[0].startswith("#") or row == _HEADER:
            return
        if len(row) != 2:
            message = f"found {len(row)} fields, allowed is prefix,site"
            self._fault(name, line, "malformed", message)
            return
        site = SiteId(row[1].rstrip())
        if site not in self._sites:
            self._fault(name, line, "unknown-site", f"found {site!r}, which sites does not state")
        try:
            block = parse_prefix(row[0].rstrip(), site)
        except BlockFormatError as error:
            self._fault(name, line, error.code, str(error))
            return
        # A block of an unknown site takes part in this, so that one run finds all faults.
        if self._is_duplicate(block, name, line) or site not in self._sites:
            return
        self._blocks.append(block)

    def _is_duplicate(self, block: Block, name: str, line: int) -> bool:
        key = block.order()
        place = self._place_by_key.setdefault(key, (name, line))
        if place == (name, line):
            return False
        message = f"found {block} again; it stands at {place[0]}:{place[1]}"
        self._fault(name, line, "duplicate", message)
        return True

    def _fault(self, name: str, line: int, code: str, message: str) -> None:
        self._faults.append(Fault(f"{name}:{line}", code, message))


def _parse_length(text: str, digits: str, family: Family) -> int:
    # More than three digits are never a length, and int() has a limit on how many it takes.
    length = int(digits) if len(digits) <= 3 else _IPV6_BITS + 1
    if family is Family.IPV6 and MAX_IPV6_LENGTH < length <= _IPV6_BITS:
        message = f"found {text!r}, allowed are IPv6 blocks of /{MAX_IPV6_LENGTH} or shorter"
        raise BlockFormatError("too-long", message)
    if length > TABLE_BITS[family]:
        message = f"found {text!r}, allowed are lengths of 0 to {TABLE_BITS[family]}"
        raise BlockFormatError("malformed", message)
    return length


def _pack(family: int, text: str) -> bytes:
    try:
        return socket.inet_pton(family, text)
    except (OSError, ValueError):
        raise ValueError(f"{text!r} is not an IP address") from None
