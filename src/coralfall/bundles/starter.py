"""A starting draft: a commented TOML file that passes the check as it is."""

import string

from ..exceptions import Fault
from ..ids import PartnerId
from . import rules

_TEMPLATE = string.Template("""\
# Draft of a bundle. Check it with `coralfall bundle check`, have two operators sign it with
# `coralfall bundle sign`, and bring it into force with `coralfall bundle submit --wait`.
partner = "$partner"
# Rises by 1 with every bundle of the line; a number is never used twice.
version = 1
# Files with lines "prefix,site", relative to this file: where callers' requests enter.
block_files = []
# Regions of other partners that the targets and sites below may name.
granted_regions = []

# A region that you own.
[regions.sierra]
zones = ["sierra-1", "sierra-2"]
# Most requests in flight in the region, of all partners together.
slots = 12
# Bytes a second that the links from the entries into the region carry.
link_bytes_per_s = 125_000_000

# What another partner may use in your region; without it, nothing:
# [grants.sierra.calor]
# slots = 2

# A place that client blocks are steered to.
[sites.sierra-1]
region = "sierra"
zone = "sierra-1"

[services.catalogo]
# "latency" ranks targets by how soon they answer, "headroom" by how much they have left.
policy = "latency"
# Largest share of the service's requests that may move in one window.
shift_cap = 0.1
shift_window_s = 10.0
# Longest time that a request may take; also its largest deadline.
timeout_ms = 2000
# Whether a request other than a read must carry an idempotency key.
key_required = false
max_body_bytes = 1_048_576
# Seconds over which a joining target's allowance rises to its full slots.
ramp_s = 30.0

# Share of the service's requests that goes to each region; the shares add up to 1.
[services.catalogo.weights]
sierra = 1.0

[services.catalogo.objective]
availability = 0.999
latency_ms = 250

[targets.catalogo-01]
service = "catalogo"
region = "sierra"
zone = "sierra-1"
# IP number and port.
address = "127.0.0.1:47000"
# Most requests in flight, and most open connections, of all entries together.
slots = 6
connections = 400
# "joining" ramps up from cold, "leaving" gets no new request and drains.
state = "active"
""")


def starter_draft(partner: PartnerId) -> str:
    """Text of a first draft of ``partner``.

    :raises BundleError: if ``partner`` is no id.
    """
    if not rules.is_id(partner):
        fault = Fault("partner", "bad-id", f"found {partner!r}; {rules.ID_RULE}")
        raise rules.bundle_error("new draft", [fault])
    return _TEMPLATE.substitute(partner=partner)
