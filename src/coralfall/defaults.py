"""Constants that operators rarely change; settings and bundles override some of them."""

#: Version of the messages between entries; entries of different versions do not talk.
PEER_PROTOCOL = 3
#: Version of the bundle format.
BUNDLE_FORMAT = 1

#: Seconds for which a lease counts after the renewal was sent.
LEASE_TTL_S = 6.0
#: Seconds between renewals of a lease.
LEASE_RENEW_INTERVAL_S = 2.0
#: Seconds between two reads of the table's changes.
TABLE_POLL_INTERVAL_S = 1.0
#: Seconds between two reads of the platform's VM list by the coordinator.
VM_LIST_POLL_INTERVAL_S = 10.0
#: Seconds between two rounds of peer heartbeats.
HEARTBEAT_INTERVAL_S = 1.0
#: How many peers an entry sends a heartbeat to in one round.
HEARTBEAT_FANOUT = 3
#: How many of them are of another region.
HEARTBEAT_REMOTE_FANOUT = 1
#: Rounds for which an entry keeps a peer that it exchanges heartbeats with.
NEIGHBOUR_ROUNDS = 30
#: Seconds without an answer of the platform after which a roster is taken from a peer.
PEER_ROSTER_FALLBACK_S = 3.0
#: Seconds a call to the platform may take.
PLATFORM_TIMEOUT_S = 2.0
#: Most connections that a process keeps to the platform.
PLATFORM_CONNECTIONS = 8
#: Largest body of a call to the platform or of its answer, in bytes.
MAX_PLATFORM_BODY_BYTES = 8 * 1024 * 1024

#: Largest frame between entries, in bytes.
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Bytes that may wait to be sent to a peer before the sender has to wait.
PEER_WRITE_BUFFER_BYTES = 64 * 1024
#: Seconds in which a peer must have proved itself.
PEER_HANDSHAKE_TIMEOUT_S = 3.0
#: Seconds in which a peer must take a message.
PEER_SEND_TIMEOUT_S = 5.0
#: Seconds within which a peer must answer a heartbeat or a request for heads.
PEER_TIMEOUT_S = 2.0
#: Seconds within which a peer must have sent an object.
PEER_OBJECT_TIMEOUT_S = 5.0
#: Seconds within which a peer must answer a request for a loan.
PEER_LOAN_TIMEOUT_S = 0.5
#: Seconds without a message after which a stream that a peer opened is closed.
PEER_IDLE_S = 60.0
#: Seconds after a request for a loan for which all neighbours are asked in each round.
PEER_BORROWING_S = 5.0
#: Seconds for which a peer that failed is not chosen for heartbeats.
PEER_COOLDOWN_S = 10.0
#: Most streams that an entry keeps open to others, and that others may keep open to it.
MAX_PEER_LINKS = 32
MAX_PEER_CONNECTIONS = 640
#: Most connections whose other side has not proved itself yet.
MAX_PEER_HANDSHAKES = 32
#: Most peers that are asked for an object, one after the other.
MAX_OBJECT_PEERS = 8
#: Most seeds whose heads and roster are taken at the start.
MAX_BOOTSTRAP_PEERS = 3
#: Largest head of a caller's request, in bytes.
MAX_HEADER_BYTES = 16 * 1024
#: Seconds in which a caller must have sent the head of its request.
HEADER_TIMEOUT_S = 5.0
#: Seconds for which an idle connection of a caller is kept; clients commonly keep theirs for 15.
CALLER_IDLE_TIMEOUT_S = 20.0
#: Seconds for which a server that stops still answers what comes on an idle connection.
SHUTDOWN_IDLE_TIMEOUT_S = 1.0
#: Connections that one server of an entry takes, and how many of them may be idle.
MAX_CONNECTIONS = 1000
MAX_IDLE_CONNECTIONS = 500
#: Requests of one connection that may wait behind the one being answered.
MAX_PIPELINED = 8
#: Largest answer that is read whole before its first byte goes to the caller.
MAX_BUFFERED_ANSWER_BYTES = 256 * 1024
#: Largest body of a request that is held, so that another target can be given it.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
#: Bytes of bodies and answers that an entry holds at one time, of all requests together.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
#: Longest idempotency key, in bytes.
MAX_KEY_BYTES = 255
#: Most targets that one request is given to.
MAX_ATTEMPTS = 3
#: Seconds in which a connection to a target must be open.
CONNECT_TIMEOUT_S = 1.0
#: Seconds for which an idle connection to a target is kept; targets commonly keep theirs for 5.
CONNECTION_IDLE_TIMEOUT_S = 3.0
#: Buffer of one connection to a target in each direction, in bytes.
CONNECTION_BUFFER_BYTES = 64 * 1024
#: Seconds after which a caller may retry what no one else names a time for.
RETRY_AFTER_S = 1.0
#: Largest answer kept with an idempotency key.
MAX_STORED_ANSWER_BYTES = 16 * 1024
#: Longest time a command waits for its claim, in seconds; then it is refused.
CLAIM_TIMEOUT_S = 1.0
#: Least time between two transactions with claims of one entry, in seconds.
CLAIM_MIN_INTERVAL_S = 0.03
#: Transactions with claims that all entries together may send to the table in a second.
CLAIM_WRITES_PER_S = 300
#: Longest time an answer to a command waits for company before it is written, in seconds.
CLAIM_BATCH_DELAY_S = 0.1
#: Pauses between tries while the table can't be written, in seconds.
CLAIM_BACKOFF_MIN_S = 0.1
CLAIM_BACKOFF_MAX_S = 2.0
#: Most rows, and most bytes of answers, in one transaction with claims.
CLAIM_BATCH_ROWS = 256
CLAIM_BATCH_BYTES = 1024 * 1024
#: Most keys that an entry has open or still to write.
MAX_OPEN_CLAIMS = 4096
#: Most bytes of answers that wait to be kept; beyond it answers are kept without their body.
MAX_PENDING_ANSWER_BYTES = 4 * 1024 * 1024
#: Seconds that a stopping entry tries to write what became of its commands.
CLAIM_FLUSH_TIMEOUT_S = 5.0
#: Seconds for which the row of an idempotency key is kept after it was last written.
CLAIM_RETENTION_S = 24 * 3600.0
#: Most claim rows that one round of removal reads.
CLAIM_SWEEP_ROWS = 500

#: Seconds for which a lent slot may be used.
LOAN_TTL_S = 2.0
#: Shortest loan worth granting, in seconds.
MIN_LOAN_TTL_S = 0.2
#: Seconds after which a borrowed slot that was not used goes back.
LOAN_IDLE_TIMEOUT_S = 0.5
#: Most requests for loans of one service that an entry has out at a time.
MAX_LOAN_REQUESTS = 4
#: Seconds for which an owner that had nothing to lend is not asked again, at first and at most.
LOAN_BACKOFF_S = 0.03
MAX_LOAN_BACKOFF_S = 0.24
#: Seconds for which a slot rests after an attempt that was ended without an answer.
SLOT_CANCEL_COOLDOWN_S = 0.25
#: Added, in seconds, wherever one entry waits for another's requests to be over: time on the
#: way to the target and back, and clocks that do not run quite alike.
HANDOVER_MARGIN_S = 0.5
#: Seconds of a link's rate that an entry may send at once.
LINK_BURST_S = 0.1
#: Longest time a request waits for a slot, in seconds; then it is refused at once.
MAX_QUEUE_WAIT_S = 0.05
#: Share of requests that may be retries, and the burst kept for quiet times.
RETRY_RATIO = 0.1
RETRY_BURST = 10
#: Failures in a row after which a target is suspected, and after which it is held dead even
#: while the suspicion of most targets of its region is doubted.
SUSPECT_FAILURES = 3
DEAD_FAILURES = 5
#: Failures in a row in a region, of whichever targets, after which the region is lost.
REGION_DEAD_FAILURES = 10
#: Seconds between a target's failure and the next single request to it, first and longest.
PROBE_BACKOFF_S = 0.25
PROBE_BACKOFF_MAX_S = 5.0
#: Seconds for which a target's own word that it is unwell counts.
UNHEALTHY_REPORT_TTL_S = 5.0
#: Seconds after which half of a target's load report is replaced by the entry's own knowledge.
REPORT_HALF_LIFE_S = 0.5
#: Bound on how far apart two entries' estimates of the platform's time are, in seconds.
MAX_CLOCK_SKEW_S = 1.0

#: Look-up answers may be cached this long, in seconds; a leaving entry serves for longer.
LOOKUP_TTL_S = 5.0
#: Most entries that a look-up names.
MAX_LOOKUP_ENTRIES = 4
#: Seconds for which an entry or target that is asked to stop may finish its requests.
GRACE_S = 30.0
#: A child that fails more often than this within the window ends its supervisor.
MAX_CHILD_FAILURES = 5
CHILD_FAILURE_WINDOW_S = 60.0
#: Seconds before the first restart of a failed child, doubled each time up to the longest.
RESTART_BACKOFF_S = 0.1
MAX_RESTART_BACKOFF_S = 10.0

HEADER_DEADLINE = "coralfall-deadline-ms"
HEADER_KEY = "idempotency-key"
HEADER_OUTCOME = "coralfall-outcome"
#: Answer header beside Retry-After, which has whole seconds only.
HEADER_RETRY_AFTER_MS = "coralfall-retry-after-ms"
HEADER_VERSION = "coralfall-version"
#: Request header towards targets: milliseconds left.
HEADER_TARGET_DEADLINE = "deadline-ms"
#: Request header towards targets: Unix time in milliseconds after which it must not be run.
HEADER_TARGET_DEADLINE_AT = "deadline-at-ms"
#: Answer header of targets: ``not-run`` if the target shed the request unseen.
HEADER_TARGET_OUTCOME = "outcome"
#: Answer header of targets: ``in-flight/slots``.
HEADER_TARGET_LOAD = "load"

#: Seconds that a call to the platform's store may take, beside what it was asked to wait.
STORE_TIMEOUT_S = 1.0
#: Seconds that the store may take on a connection that was used before, beside what it was asked
#: to wait; then the call is made again on a new one.
STORE_REUSED_TIMEOUT_S = 0.5
#: The users' bound, in seconds, that the next four constants are made for.
PACE_REFERENCE_BOUND_S = 2.0
#: Seconds between two reads of the store by the entry that reads for all.
STORE_READ_INTERVAL_S = 0.5
#: Age in seconds at which the first other entry reads for itself, what each next one adds to it,
#: and the most that is added.
STORE_READ_STALE_S = 0.85
STORE_READ_RANK_DELAY_S = 0.12
MAX_STORE_READ_RANK_DELAY_S = 0.4
#: How many entries, the first in rank, hand on what they read to all others: more than the store
#: may turn away at one time of a dozen, few enough to be no storm on a large installation.
BROADCAST_RANKS = 8
#: Seconds after an outage of the store for which targets that are missing are still used.
MISSING_TARGET_GRACE_S = 2.2
#: Seconds without an answer of the store that count as an outage.
STORE_OUTAGE_S = 1.5
#: Seconds between two rounds of gossip, and how many entries are asked in one.
GOSSIP_INTERVAL_S = 0.4
GOSSIP_FANOUT = 2
#: Seconds between two rounds of an entry that starts and knows no rows yet.
GOSSIP_BOOTSTRAP_INTERVAL_S = 0.1
#: Seconds for which an entry waits for the rows that its seeds read before it reads the store, when
#: the whole installation starts for the first time and no caller waits yet. Any other start asks
#: both at once, as callers wait for entries that were killed.
FIRST_START_SEED_WAIT_S = 2.0
#: How many entries one asks in turn, so that streams to them are used again.
GOSSIP_NEIGHBOURS = 12
#: Most records and suspicions that are news in one message, and seconds for which they are news.
#: What does not fit is found by the sum, so that many changes at once do not make messages long.
#: Too few suspicions in one would hold up the news of a zone that is lost for many seconds.
MAX_GOSSIP_RECORDS = 8
MAX_GOSSIP_SUSPICIONS = 64
GOSSIP_UPDATE_TTL_S = 3.0
#: Pushes of news of entries that one entry may receive in a second, of all others together.
MEMBER_PUSHES_PER_S = 5.0
#: Most suspected requests that are news in one message, and most that an entry remembers. A mass
#: failure takes along many that come once; what matters is told first.
MAX_GOSSIP_SUSPECT_REQUESTS = 24
#: Most limits of targets that are news in one message.
MAX_GOSSIP_LIMITS = 64
#: Most departures of targets that are news in one message.
MAX_GOSSIP_DEPARTURES = 64
MAX_SUSPECT_REQUESTS = 1024
#: Targets that must have ended with a request in hand until it is sent to no more of them, if
#: nobody else was in hand at as many; and if somebody was. The users allow it to reach targets
#: three times more once three ended of it and the entries had time to tell each other.
QUARANTINE_CRASHES = 3
QUARANTINE_AMBIGUOUS_CRASHES = 5
#: Seconds after the last crash from which on a refused request is sent once more, on trial.
QUARANTINE_TRY_S = 60.0
#: Seconds for which a suspected request is remembered once it comes no more, and after which the
#: caller of one that is refused may ask whether it still is: sooner, so that it stays refused.
QUARANTINE_S = 600.0
QUARANTINE_RETRY_AFTER_S = 300.0
#: Seconds for which two entries know different things before one asks the other for everything.
GOSSIP_FULL_SYNC_DELAY_S = 0.8
#: Seconds after which a suspected entry that did not refute it is held dead, in a fleet of
#: ``SUSPICION_ENTRIES``, and the part of that which each fourfold fleet adds: news take rounds.
SUSPICION_TIMEOUT_S = 1.5
SUSPICION_ENTRIES = 12
SUSPICION_GROWTH = 0.5
#: How many more entries are asked in a round while others are suspected, at the most.
MAX_EXTRA_PROBES = 2
#: How many of all entries ask a suspect in a round, and how many suspects one entry asks.
SUSPECT_PROBERS = 3
MAX_SUSPECT_PROBES = 2
#: Questions in a row without an answer after which one entry suspects another.
SUSPECT_MISSED_PROBES = 2
#: Multiple of a round after which this process is so late itself that it suspects nobody.
BUSY_ROUND_FACTOR = 1.5
#: Seconds without a word after which a dead entry is forgotten.
DEAD_ENTRY_RETENTION_S = 120.0
#: Seconds between two comparisons of the entries with their rows, longer than entries remember each
#: other, and most rows that one writes: the store takes a hundred entries in one transaction, and
#: each row needs two.
RECONCILE_INTERVAL_S = 150.0
MAX_RECONCILE_ROWS = 50
#: How many entries one entry hands a change on to.
RELAY_FANOUT = 8
#: Seconds for which the same entries hand on what one pushes.
RELAY_ROTATION_S = 30.0
#: Seconds that an exchange between entries may take.
GOSSIP_TIMEOUT_S = 0.8
#: Seconds that an answer may take on a stream that was open before the same is asked on a new one.
GOSSIP_REUSED_TIMEOUT_S = 0.3
#: One entry of so many of its region counts for tenants' limits. Every entry lends to all that
#: count in its region, so more of them cost messages; few can't bear the questions of all.
QUOTA_ENTRIES_PER_OWNER = 16
#: Seconds for which a share is lent in a fleet of up to ``QUOTA_BASE_ENTRIES``, longer in larger
#: ones in proportion so that an owner is told as often; an owner that is lost takes along what was
#: lent to it for so long. And the part of it after which a lease is renewed.
QUOTA_LEASE_S = 2.0
QUOTA_BASE_ENTRIES = 100
QUOTA_RENEW_FRACTION = 0.25
#: Seconds between two looks at what has to be renewed.
QUOTA_RENEW_INTERVAL_S = 0.1
#: Seconds after which a second owner is asked beside the first, those that an owner's answer may
#: take, and those that a request waits for leave at the most.
QUOTA_HEDGE_DELAY_S = 0.1
QUOTA_TIMEOUT_S = 0.6
QUOTA_WAIT_TIMEOUT_S = 0.9
#: Seconds after which an owner that gave no answer is asked again.
QUOTA_OWNER_COOLDOWN_S = 1.0
#: Longest time, in seconds, for which an entry turns away a tenant's requests without asking again.
MAX_QUOTA_REJECT_S = 0.1
#: Seconds for which callers may keep an answer to a look-up.
STEER_LOOKUP_TTL_S = 1.0
#: Seconds for which a stopping entry still takes what callers send to it, and the most of the time
#: until it is killed that this may take: what was taken last has to be finished in the rest.
SHUTDOWN_ACCEPT_S = 3.0
SHUTDOWN_ACCEPT_FRACTION = 0.5
#: Multiple of their time for which some callers keep an answer to a look-up.
LOOKUP_TTL_OVERRUN_FACTOR = 3.0
#: Most addresses in an answer to a look-up; callers take no more.
MAX_LOOKUP_ADDRESSES = 64
#: Addresses up to which a zone's own are made up with as many others of its region.
LOOKUP_FILL_ADDRESSES = 16

#: How many targets hold an object, in the order of their hashes.
AFFINITY_CANDIDATES = 2
#: Slots, as a multiple of a target's own, up to which the homes are filled, one limit after
#: the other: first every home up to the first limit, then every home up to the next.
AFFINITY_LOAD_LIMITS = (1.0, 1.5, 3.0)
#: The same for requests whose callers have waited for longer than the answer is worth most.
LATE_LOAD_LIMITS = (1.0,)
#: Part of what may shift between regions that an entry uses, and the seconds that it is counted in.
SHIFT_BUDGET_FRACTION = 2 / 3
SHIFT_WINDOW_S = 2.0
#: Seconds after which half of a target's word on its load is replaced by an entry's own knowledge.
LOAD_HALF_LIFE_S = 1.5
#: Most objects whose order of targets is kept.
AFFINITY_CACHE_OBJECTS = 20_000
#: Seconds in which a connection to a target must be open.
TARGET_CONNECT_S = 0.35
#: Seconds for which sent bytes may stay unacknowledged before their connection is given up.
TCP_USER_TIMEOUT_S = 0.4
#: Failed connections and failed exchanges in a row after which a target rests.
EJECTION_FAILURES = 3
#: Seconds for which it rests, at first and at most.
EJECTION_S = 0.3
MAX_EJECTION_S = 2.0
#: Files that a process may have open, and those of them that callers' connections don't get: the
#: platform keeps two hundred for files, and the store, other entries and listeners need some.
MAX_FILES = 4096
RESERVED_FILES = 296
#: Part of the rest that callers' connections get; most of those in use need one to a target.
CALLER_FILES_FRACTION = 0.6
#: Most connections of callers, and the fewest that are let in.
MAX_CALLER_CONNECTIONS = 3000
MIN_CALLER_CONNECTIONS = 32
#: Seconds for which an idle connection to a target is used again.
TARGET_IDLE_TIMEOUT_S = 3.0
#: Seconds that a request must have left to be sent to a target.
MIN_SEND_TIME_LEFT_S = 0.02
#: Seconds after which a refused caller may come back.
STEER_RETRY_AFTER_S = 0.1
#: Largest body of a request that is held whole, in bytes.
MAX_BUFFERED_UPLOAD_BYTES = 2 * 1024 * 1024
#: Largest head of a target's answer, in bytes.
MAX_ANSWER_HEAD_BYTES = 64 * 1024
