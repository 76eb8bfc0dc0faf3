"""Global traffic steering for partners who share VMs and target capacity.

Exports the names that custom extensions are written with. They are imported on first access, so
that a process loads only the modules that it uses.
"""

import importlib
import typing as t

if t.TYPE_CHECKING:
    from .balancing.routing import Policy as Policy
    from .balancing.steering import Steering as Steering
    from .bundles.bundle import Bundle as Bundle
    from .bundles.bundle import SignedBundle as SignedBundle
    from .cluster.entry import Entry as Entry
    from .exceptions import CoralfallError as CoralfallError
    from .exceptions import PlatformError as PlatformError
    from .exceptions import RefusedError as RefusedError
    from .forwarding.callers import LookupSource as LookupSource
    from .forwarding.observer import RequestObserver as RequestObserver
    from .peering.peer_handler import PeerHandler as PeerHandler
    from .process.child import Child as Child
    from .process.clock import Clock as Clock
    from .settings import EntrySettings as EntrySettings
    from .settings import load_settings as load_settings
    from .stores.store import ObjectStore as ObjectStore
    from .stores.store import Platform as Platform
    from .stores.store import Table as Table
    from .stores.store import VmList as VmList

__version__ = "0.1.0"

_MODULE_BY_NAME = {
    "Bundle": "bundles.bundle",
    "Child": "process.child",
    "Clock": "process.clock",
    "CoralfallError": "exceptions",
    "Entry": "cluster.entry",
    "EntrySettings": "settings",
    "LookupSource": "forwarding.callers",
    "ObjectStore": "stores.store",
    "PeerHandler": "peering.peer_handler",
    "Platform": "stores.store",
    "PlatformError": "exceptions",
    "Policy": "balancing.routing",
    "RefusedError": "exceptions",
    "RequestObserver": "forwarding.observer",
    "SignedBundle": "bundles.bundle",
    "Steering": "balancing.steering",
    "Table": "stores.store",
    "VmList": "stores.store",
    "load_settings": "settings",
}
__all__ = list(_MODULE_BY_NAME)


def __getattr__(name: str) -> t.Any:
    module = _MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{module}", __name__), name)
