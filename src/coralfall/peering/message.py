"""The base of all messages between entries."""

import msgspec


class Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One typed class for each message; they are told apart by their tag."""
