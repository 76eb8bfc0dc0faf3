"""Global traffic steering for partners who share VMs and target capacity.

Names that users of the package write their own classes with are found here; they are imported
when first asked for, so that an entry holds only what it needs.
"""

import importlib
import typing as t

if t.TYPE_CHECKING:
    from .bundle import Bundle as Bundle
    from .bundle import SignedBundle as SignedBundle
    from .callers import LookupSource as LookupSource
    from .child import Child as Child
    from .clock import Clock as Clock
    from .entry import Entry as Entry
    from .exceptions import CoralfallError as CoralfallError
    from .exceptions import PlatformError as PlatformError
    from .exceptions import RefusedError as RefusedError
    from .observer import RequestObserver as RequestObserver
    from .peer_handler import PeerHandler as PeerHandler
    from .routing import Policy as Policy
    from .settings import EntrySettings as EntrySettings
    from .settings import load_settings as load_settings
    from .steering import Steering as Steering
    from .store import ObjectStore as ObjectStore
    from .store import Platform as Platform
    from .store import Table as Table
    from .store import VmList as VmList

__version__ = "0.1.0"

_MODULE_BY_NAME = {
    "Bundle": "bundle",
    "Child": "child",
    "Clock": "clock",
    "CoralfallError": "exceptions",
    "Entry": "entry",
    "EntrySettings": "settings",
    "LookupSource": "callers",
    "ObjectStore": "store",
    "PeerHandler": "peer_handler",
    "Platform": "store",
    "PlatformError": "exceptions",
    "Policy": "routing",
    "RefusedError": "exceptions",
    "RequestObserver": "observer",
    "SignedBundle": "bundle",
    "Steering": "steering",
    "Table": "store",
    "VmList": "store",
    "load_settings": "settings",
}
__all__ = list(_MODULE_BY_NAME)


def __getattr__(name: str) -> t.Any:
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{module}", __name__), name)
