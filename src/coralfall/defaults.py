"""Constants that operators rarely change; settings and bundles override some of them."""

#: Version of the messages between entries; entries of different versions do not talk.
PEER_PROTOCOL = 1
#: Version of the bundle format.
BUNDLE_FORMAT = 1

#: Seconds for which a lease counts after the renewal was sent.
LEASE_TTL_S = 6.0
#: Seconds between renewals of a lease.
LEASE_RENEW_S = 2.0
#: Seconds between two reads of the table's changes.
POLL_S = 1.0
#: Seconds between two rounds of peer heartbeats.
HEARTBEAT_S = 1.0
#: How many peers an entry sends a heartbeat to in one round.
HEARTBEAT_FANOUT = 3
#: Seconds a call to the platform may take.
PLATFORM_TIMEOUT_S = 2.0

#: Largest frame between entries, in bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Largest head of a caller's request, in bytes.
MAX_HEADER_BYTES = 16 * 1024
#: Seconds in which a caller must have sent the head of its request.
HEADER_TIMEOUT_S = 5.0
#: Largest answer that is read whole before its first byte goes to the caller.
MAX_BUFFERED_ANSWER_BYTES = 256 * 1024
#: Largest answer kept with an idempotency key.
MAX_KEPT_ANSWER_BYTES = 16 * 1024

#: Seconds for which a lent slot may be used.
LOAN_S = 2.0
#: Longest time a request waits for a slot, in seconds; then it is refused at once.
MAX_QUEUE_S = 0.05
#: Share of requests that may be retries, and the burst kept for quiet times.
RETRY_RATIO = 0.1
RETRY_BURST = 10
#: Bound on how far apart two entries' estimates of the platform's time are, in seconds.
MAX_CLOCK_SKEW_S = 1.0

#: Look-up answers may be cached this long, in seconds; a leaving entry serves for longer.
LOOKUP_TTL_S = 5.0
#: Most entries that a look-up names.
LOOKUP_ENTRIES = 4
#: Seconds for which an entry or target that is asked to stop may finish its requests.
GRACE_S = 30.0

HEADER_DEADLINE = "coralfall-deadline-ms"
HEADER_KEY = "idempotency-key"
HEADER_OUTCOME = "coralfall-outcome"
HEADER_VERSION = "coralfall-version"
#: Request header towards targets: milliseconds left.
HEADER_TARGET_DEADLINE = "deadline-ms"
#: Answer header of targets: ``not-run`` if the target shed the request unseen.
HEADER_TARGET_OUTCOME = "outcome"
#: Answer header of targets: ``in-flight/slots``.
HEADER_TARGET_LOAD = "load"
