"""Names of headers, paths and tables in the platform's interfaces."""

from ..traffic.wire import HeaderNames

HEADERS = HeaderNames(
    request_id=b"x-request-id",
    time_left=b"x-request-deadline",
    signature=b"x-response-signature",
    expected_target=b"x-expected-instance",
    not_run=b"x-not-executed",
    load=b"x-server-load",
    limit=b"server-limit",
    leaving=b"server-leaving",
    retry_after=b"retry-after",
    affinity_cookie=b"X-Affinity-Key",
    credential=b"x-credential",
    tenant=b"x-tenant",
)

READY_PATH = "/v1/ready"
RESOLVE_PATH = "/v1/resolve"
ROWS_TX_PATH = "/v1/rows-tx"
ROWS_GET_PATH = "/v1/rows-get"
ROWS_FEED_PATH = "/v1/rows-feed"
#: Header of the store's answers, in lower case.
ERA_HEADER = b"store-era"

STATE_TABLE = "op"
STATE_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
TARGET_TABLE = "servers"
#: Table in which coralfall keeps the records of its own entries.
ENTRY_TABLE = "entries"
