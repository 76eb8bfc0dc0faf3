"""Default values, limits and header names used throughout the package.

Settings and bundles override some of them. Times are in seconds and sizes in bytes, as the suffix
of each name says.
"""

#: Version of the protocol between entries; entries with different versions reject each other.
PEER_PROTOCOL = 3
#: Version of the bundle format.
BUNDLE_FORMAT = 1

#: Lifetime of a lease, counted from when its renewal was sent.
LEASE_TTL_S = 6.0
#: Time between renewals of a lease.
LEASE_RENEW_INTERVAL_S = 2.0
#: Time between two reads of the table's changes.
TABLE_POLL_INTERVAL_S = 1.0
#: Time between two reads of the platform's VM list by the coordinator.
VM_LIST_POLL_INTERVAL_S = 10.0
#: Time between two rounds of peer heartbeats.
HEARTBEAT_INTERVAL_S = 1.0
#: Number of peers that an entry sends a heartbeat to in one round.
HEARTBEAT_FANOUT = 3
#: Number of these peers that are in another region.
HEARTBEAT_REMOTE_FANOUT = 1
#: Number of rounds for which an entry keeps exchanging heartbeats with the same peer.
NEIGHBOUR_ROUNDS = 30
#: Time without an answer from the platform after which the roster is taken from a peer.
PEER_ROSTER_FALLBACK_S = 3.0
#: Timeout of a call to the platform.
PLATFORM_TIMEOUT_S = 2.0
#: Maximum number of connections from a process to the platform.
PLATFORM_CONNECTIONS = 8
#: Maximum size of the body of a call to the platform or of its answer.
MAX_PLATFORM_BODY_BYTES = 8 * 1024 * 1024

#: Maximum size of a frame between entries.
MAX_FRAME_BYTES = 4 * 1024 * 1024
#: Bytes that may be buffered for a peer before the sender has to wait.
PEER_WRITE_BUFFER_BYTES = 64 * 1024
#: Time within which a peer must have authenticated itself.
PEER_HANDSHAKE_TIMEOUT_S = 3.0
#: Time within which a peer must accept a message.
PEER_SEND_TIMEOUT_S = 5.0
#: Time within which a peer must answer a heartbeat or a request for bundle heads.
PEER_TIMEOUT_S = 2.0
#: Time within which a peer must have sent an object.
PEER_OBJECT_TIMEOUT_S = 5.0
#: Time within which a peer must answer a request for a loan.
PEER_LOAN_TIMEOUT_S = 0.5
#: Idle time after which a stream that a peer opened is closed.
PEER_IDLE_S = 60.0
#: Time after a loan request during which every round sends a heartbeat to all neighbours.
PEER_BORROWING_S = 5.0
#: Time for which a peer that failed is not chosen for heartbeats.
PEER_COOLDOWN_S = 10.0
#: Maximum number of streams that an entry keeps open to others, and that it accepts from others.
MAX_PEER_LINKS = 32
MAX_PEER_CONNECTIONS = 640
#: Maximum number of connections whose peer has not authenticated itself yet.
MAX_PEER_HANDSHAKES = 32
#: Maximum number of peers that are asked for an object, one after the other.
MAX_OBJECT_PEERS = 8
#: Maximum number of seeds whose bundle heads and roster are fetched at the start.
MAX_BOOTSTRAP_PEERS = 3
#: Maximum size of the head (request line and headers) of a caller's request.
MAX_HEADER_BYTES = 16 * 1024
#: Time within which a caller must have sent the head of its request.
HEADER_TIMEOUT_S = 5.0
#: Idle timeout of a caller's connection; clients commonly keep theirs open for 15 s.
CALLER_IDLE_TIMEOUT_S = 20.0
#: Time for which a stopping server still answers requests on idle connections, and the same where
#: only look-ups and checks come.
SHUTDOWN_IDLE_TIMEOUT_S = 1.0
SHUTDOWN_IDLE_CHECKS_TIMEOUT_S = 0.1
#: Maximum number of connections to one server of an entry, and how many of them may be idle.
MAX_CONNECTIONS = 1000
MAX_IDLE_CONNECTIONS = 500
#: Number of pipelined requests that may wait behind the one being answered.
MAX_PIPELINED = 8
#: Maximum size of an answer that is read whole before its first byte goes to the caller.
MAX_BUFFERED_ANSWER_BYTES = 256 * 1024
#: Maximum size of a request body that is buffered so that it can be sent to another target.
MAX_BUFFERED_BODY_BYTES = 64 * 1024
#: Maximum memory for buffered bodies and answers of all requests of an entry.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
#: Maximum length of an idempotency key.
MAX_KEY_BYTES = 255
#: Maximum number of targets that one request is sent to.
MAX_ATTEMPTS = 3
#: Timeout for opening a connection to a target.
CONNECT_TIMEOUT_S = 1.0
#: Time without any acknowledgement after which a half-closed connection to a target is dead.
DEAD_TARGET_TIMEOUT_S = 9.0
#: Time between checks whether a target is back after such a connection died.
VANISHED_TARGET_CHECK_S = 1.0
#: Idle timeout of a connection to a target; targets commonly keep theirs open for 5 s.
CONNECTION_IDLE_TIMEOUT_S = 3.0
#: Buffer of one connection to a target in each direction.
CONNECTION_BUFFER_BYTES = 64 * 1024
#: Retry-After that callers are given where nothing more specific is known.
RETRY_AFTER_S = 1.0
#: Maximum size of an answer that is stored with an idempotency key.
MAX_STORED_ANSWER_BYTES = 16 * 1024
#: Time that a command waits for its claim before it is rejected.
CLAIM_TIMEOUT_S = 1.0
#: Minimum time between two claim transactions of one entry.
CLAIM_MIN_INTERVAL_S = 0.03
#: Maximum rate of claim transactions to the table, over all entries together.
CLAIM_WRITES_PER_S = 300
#: Maximum time for which the answer to a command waits to be written in a batch with others.
CLAIM_BATCH_DELAY_S = 0.1
#: Backoff between attempts to write to a table that is unavailable, first and longest.
CLAIM_BACKOFF_MIN_S = 0.1
CLAIM_BACKOFF_MAX_S = 2.0
#: Maximum number of rows, and of bytes of answers, in one claim transaction.
CLAIM_BATCH_ROWS = 256
CLAIM_BATCH_BYTES = 1024 * 1024
#: Maximum number of keys of an entry that are in use or still have to be written.
MAX_OPEN_CLAIMS = 4096
#: Maximum size of the answers that wait to be stored; beyond it they are stored without a body.
MAX_PENDING_ANSWER_BYTES = 4 * 1024 * 1024
#: Time for which a stopping entry tries to write the outcomes of its commands.
CLAIM_FLUSH_TIMEOUT_S = 5.0
#: Time for which no key can be claimed after the table came back from an older copy, in which
#: entries write again the claims that it may have lost.
CLAIM_HOLD_S = 5.0
#: Time after a claim was settled, and number of settled claims, within which an entry can write it
#: again.
CLAIM_RECALL_S = 60.0
MAX_RECENT_CLAIMS = 16384
#: Time for which the row of an idempotency key is kept after its last write.
CLAIM_RETENTION_S = 24 * 3600.0
#: Maximum number of claim rows that are read in one round of removing expired ones.
CLAIM_SWEEP_ROWS = 500

#: Lifetime of a loan: the time for which a lent slot may be used.
LOAN_TTL_S = 2.0
#: Minimum lifetime of a loan; shorter ones are not granted.
MIN_LOAN_TTL_S = 0.2
#: Time after which a borrowed slot that was not used is returned.
LOAN_IDLE_TIMEOUT_S = 0.5
#: Maximum number of concurrent loan requests of an entry for one service.
MAX_LOAN_REQUESTS = 4
#: Backoff before an owner that had nothing to lend is asked again, first and longest.
LOAN_BACKOFF_S = 0.03
MAX_LOAN_BACKOFF_S = 0.24
#: Margin wherever one entry waits for another's requests to end. It covers the network time to
#: the target and back, and differences in clock rate.
HANDOVER_MARGIN_S = 0.5
#: Burst of a link's token bucket, as seconds of its rate.
LINK_BURST_S = 0.1
#: Maximum time that a request waits for a slot before it is rejected.
MAX_QUEUE_WAIT_S = 0.05
#: Retry budget: retries as a fraction of requests, and the burst allowed while there are few.
RETRY_RATIO = 0.1
RETRY_BURST = 10
#: Consecutive failures after which a target is suspected, and after which it is considered dead
#: even if most targets of its region are suspected and these suspicions are therefore doubted.
SUSPECT_FAILURES = 3
DEAD_FAILURES = 5
#: Consecutive failures in a region, of whichever targets, after which the region is considered
#: lost.
REGION_DEAD_FAILURES = 10
#: Backoff between a target's failure and the next probe request to it, first and longest.
PROBE_BACKOFF_S = 0.25
PROBE_BACKOFF_MAX_S = 5.0
#: Time for which a target's own report that it is unhealthy is valid.
UNHEALTHY_REPORT_TTL_S = 5.0
#: Half-life of a target's load report: the time after which the entry's own count has half the
#: weight.
REPORT_HALF_LIFE_S = 0.5
#: Maximum difference between two entries' estimates of the platform's time.
MAX_CLOCK_SKEW_S = 1.0

#: Time for which look-up answers may be cached; a leaving entry serves for longer than that.
LOOKUP_TTL_S = 5.0
#: Maximum number of entries in a look-up answer.
MAX_LOOKUP_ENTRIES = 4
#: Time that an entry or target has to finish its requests when it is told to stop.
GRACE_S = 30.0
#: Part of that time in which a process ends after its last request was cut off, at most, and as a
#: fraction of it.
STOP_RESERVE_S = 0.5
STOP_RESERVE_FRACTION = 1 / 12
#: Part of that time, as a fraction, before which no request is cut off.
STOP_LAST_FRACTION = 1 / 6
#: Time between two proofs that a process runs and was not told to stop.
STOP_BEAT_S = 0.2
#: Time that an answer of a target takes to reach the caller, where a stopping process waits for it.
STOP_ANSWER_MARGIN_S = 0.25
#: Time before requests are cut off at which callers are told so, where they can be.
STOP_LAST_ANSWERS_S = 0.1
#: Time between two checks for requests that can no longer be served while a process stops.
STOP_CHECK_S = 0.2
#: Time for which the longest answers of a service are remembered, at least.
LONGEST_ANSWER_WINDOW_S = 30.0
#: Number of failures of a child within the window that its supervisor tolerates; with one more the
#: supervisor ends.
MAX_CHILD_FAILURES = 5
CHILD_FAILURE_WINDOW_S = 60.0
#: Backoff before the first restart of a failed child; doubled for each further one up to the
#: maximum.
RESTART_BACKOFF_S = 0.1
MAX_RESTART_BACKOFF_S = 10.0

HEADER_DEADLINE = "coralfall-deadline-ms"
HEADER_KEY = "idempotency-key"
HEADER_OUTCOME = "coralfall-outcome"
#: Answer header that complements Retry-After, which has whole seconds only.
HEADER_RETRY_AFTER_MS = "coralfall-retry-after-ms"
HEADER_VERSION = "coralfall-version"
#: Request header to targets: milliseconds left until the deadline.
HEADER_TARGET_DEADLINE = "deadline-ms"
#: Request header to targets: Unix time in milliseconds after which the request must not be run.
HEADER_TARGET_DEADLINE_AT = "deadline-at-ms"
#: Header that tells a target by which slot, lease, roster and loan a request was sent to it.
HEADER_TARGET_SLOT = "coralfall-slot"
#: Answer header of targets: ``not-run`` if the target shed the request without running it.
HEADER_TARGET_OUTCOME = "outcome"
#: Answer header of targets: ``in-flight/slots``.
HEADER_TARGET_LOAD = "load"

#: Timeout of a call to the platform's store, on top of the wait that the call asks for.
STORE_TIMEOUT_S = 1.0
#: The same on a reused connection; after it the call is repeated on a new connection.
STORE_REUSED_TIMEOUT_S = 0.5
#: Bound on the propagation time that the next four constants are made for. For a tighter bound
#: they are scaled down.
PACE_REFERENCE_BOUND_S = 2.0
#: Time between two reads of the store by the entry that reads on behalf of all.
STORE_READ_INTERVAL_S = 0.5
#: Age of the rows at which the next entry in rank reads the store itself, what each further rank
#: adds to it, and the maximum that is added.
STORE_READ_STALE_S = 0.85
STORE_READ_RANK_DELAY_S = 0.12
MAX_STORE_READ_RANK_DELAY_S = 0.4
#: Number of entries, the first in rank, that push what they read to all others. It is more than
#: the store may reject at one time out of a dozen, and small enough not to flood a large
#: installation.
BROADCAST_RANKS = 8
#: Time after an outage of the store for which targets whose rows are missing are still used.
MISSING_TARGET_GRACE_S = 2.2
#: Time from the beginning of an era of the store for which rows that it has lost stay in force if
#: nobody writes them again.
CARRIED_ROW_S = 60.0
#: The same for an evacuation, which may have been lifted before anybody read the era's rows.
CARRIED_EVACUATION_S = 15.0
#: The same for the deletion of a target's row, in beats of the target.
DELETED_TARGET_BEATS = 4
#: Longest time for which a starting entry that has all rows waits for another one to agree on those
#: that the store may have lost.
START_CONFIRM_S = 1.0
#: Part of the bound on evacuations for which one stays lifted whose end the store has lost.
LIFTED_EVACUATION_FRACTION = 0.6
#: Time without an answer of the store that counts as an outage.
STORE_OUTAGE_S = 1.5
#: Time between two rounds of gossip, and the number of entries that are asked in one.
GOSSIP_INTERVAL_S = 0.4
GOSSIP_FANOUT = 2
#: Time between two rounds of gossip of a starting entry that has no rows yet.
GOSSIP_BOOTSTRAP_INTERVAL_S = 0.1
#: Time that an entry waits for rows from its seeds before it reads the store, when the whole
#: installation starts for the first time and no caller is waiting yet. At any other start an entry
#: asks both at once, since callers wait for entries that were killed.
FIRST_START_SEED_WAIT_S = 2.0
#: Number of entries that one entry gossips with in rotation, so that their streams are reused.
GOSSIP_NEIGHBOURS = 12
#: Maximum number of entry records and of suspicions in one message, and how long a change is
#: included in messages. Changes that do not fit are found by comparing checksums, so that many
#: changes at once do not make messages long. With too few suspicions per message the loss of a
#: zone would take many seconds to spread.
MAX_GOSSIP_RECORDS = 8
MAX_GOSSIP_SUSPICIONS = 64
GOSSIP_UPDATE_TTL_S = 3.0
#: Maximum rate of pushed membership updates to one entry, from all others together.
MEMBER_PUSHES_PER_S = 5.0
#: Maximum number of suspect requests in one message; the limit on how many an entry remembers
#: follows below. A mass failure makes many requests suspect that come only once; the most
#: suspected ones are sent first.
MAX_GOSSIP_SUSPECT_REQUESTS = 24
#: Maximum number of target limits in one message.
MAX_GOSSIP_LIMITS = 64
#: Maximum number of target departures in one message.
MAX_GOSSIP_DEPARTURES = 64
#: Most rows in a message that the store has lost.
MAX_GOSSIP_CARRIED = 256
MAX_SUSPECT_REQUESTS = 1024
#: Number of targets that must have crashed with a request in flight before it is quarantined: if no
#: other request was in flight at as many crashes, and if one was. By the users' rule a request may
#: reach three more targets once it has crashed three and the entries had time to tell each other.
QUARANTINE_CRASHES = 3
QUARANTINE_AMBIGUOUS_CRASHES = 5
#: Time after the last crash from which on a quarantined request is sent once more, on trial.
QUARANTINE_TRY_S = 60.0
#: Time for which a suspect request is remembered after it last came, and the Retry-After of a
#: quarantined one. The latter is shorter, so that a request that is retried stays quarantined.
QUARANTINE_S = 600.0
QUARANTINE_RETRY_AFTER_S = 300.0
#: Time for which two entries' checksums differ before one asks the other for its full state.
GOSSIP_FULL_SYNC_DELAY_S = 0.8
#: SWIM suspicion timeout: time after which a suspected entry that did not refute the suspicion is
#: considered dead in a fleet of ``SUSPICION_ENTRIES``. Each time the fleet is four times larger,
#: ``SUSPICION_GROWTH`` of it is added, since updates take rounds to spread.
SUSPICION_TIMEOUT_S = 1.5
SUSPICION_ENTRIES = 12
SUSPICION_GROWTH = 0.5
#: Maximum number of additional entries that are probed in a round while others are suspected.
MAX_EXTRA_PROBES = 2
#: Number of entries out of all that probe a suspect in a round, and the maximum number of suspects
#: that one entry probes.
SUSPECT_PROBERS = 3
MAX_SUSPECT_PROBES = 2
#: Consecutive probes without an answer after which an entry suspects another.
SUSPECT_MISSED_PROBES = 2
#: Length of a gossip round, as a multiple of the interval, beyond which this process is itself too
#: late to suspect others.
BUSY_ROUND_FACTOR = 1.5
#: Time without a message after which a dead entry is forgotten.
DEAD_ENTRY_RETENTION_S = 120.0
#: Time between two reconciliations of the entries with their rows, and the maximum number of rows
#: that one writes. The time is longer than dead entries are remembered; the store takes a hundred
#: items in one transaction, and each row needs two.
RECONCILE_INTERVAL_S = 150.0
MAX_RECONCILE_ROWS = 50
#: Number of entries that one entry relays an update to.
RELAY_FANOUT = 8
#: Time after which an entry chooses other entries to relay its updates.
RELAY_ROTATION_S = 30.0
#: Timeout of an exchange between entries.
GOSSIP_TIMEOUT_S = 0.8
#: Timeout of an exchange on a reused stream; after it the exchange is repeated on a new one.
GOSSIP_REUSED_TIMEOUT_S = 0.3
#: Number of entries of a region per quota owner, an entry that counts tenants' requests. Every
#: entry lends to all owners of its region, so more of them cost messages; too few can't bear the
#: load of all requests for tokens.
QUOTA_ENTRIES_PER_OWNER = 16
#: Lifetime of a lease on a share of a quota in a fleet of up to ``QUOTA_BASE_ENTRIES``. In larger
#: fleets it grows in proportion, so that an owner gets as many messages; an owner that fails takes
#: along what was leased to it for that long. Then the fraction of it after which a lease is
#: renewed.
QUOTA_LEASE_S = 2.0
QUOTA_BASE_ENTRIES = 100
QUOTA_RENEW_FRACTION = 0.25
#: Time between two checks for leases that have to be renewed.
QUOTA_RENEW_INTERVAL_S = 0.1
#: Time after which a second owner is asked as a hedge, the timeout of an owner's answer, and the
#: maximum time that a request waits for a permit.
QUOTA_HEDGE_DELAY_S = 0.1
QUOTA_TIMEOUT_S = 0.6
QUOTA_WAIT_TIMEOUT_S = 0.9
#: Time for which an owner that did not answer is not asked again.
QUOTA_OWNER_COOLDOWN_S = 1.0
#: Maximum time for which an entry rejects a tenant's requests without asking an owner again.
MAX_QUOTA_REJECT_S = 0.1
#: Time that the dispatcher of a target has to answer, in the entry's region and in another one.
DISPATCH_TIMEOUT_S = 0.15
DISPATCH_FAR_TIMEOUT_S = 0.3
#: Time after which a dispatcher that did not answer is probed; it is not asked before.
DISPATCH_COOLDOWN_S = 1.0
#: Time for which a release waits for an ask to the same dispatcher, and for which what a failed
#: exchange left over waits.
DISPATCH_RELEASE_DELAY_S = 0.01
DISPATCH_RETRY_DELAY_S = 0.1
#: Maximum number of releases that wait for one dispatcher: what 84 entries have in flight at 16
#: targets is below that. Beyond it the oldest are dropped, and their assignments expire.
MAX_DISPATCH_RELEASES = 256
#: Maximum number of targets whose dispatchers' ranks are kept.
MAX_DISPATCH_RANKS = 4096
#: Maximum number of streams to dispatchers, and to entries that wait for notices: 16 dispatchers
#: for each of up to eight regions.
MAX_DISPATCH_LINKS = 128
#: Time between two runs of a dispatcher's ledger while it has work.
DISPATCH_TICK_S = 0.05
#: Time between two checks of an entry for dispatchers that are gone.
DISPATCH_CHECK_S = 0.25
#: Shortest time between two load reports to one entry, the time over which they are averaged, and
#: the age beyond which they are not used.
DISPATCH_LOAD_INTERVAL_S = 1.0
DISPATCH_LOAD_AVERAGE_S = 2.0
DISPATCH_LOAD_MAX_AGE_S = 5.0
#: Time for which a stopping entry waits until its last messages of dispatch are sent.
DISPATCH_STOP_S = 0.5
#: Time for which callers may cache a look-up answer.
STEER_LOOKUP_TTL_S = 1.0
#: Time for which a stopping entry still accepts requests, and its maximum as a fraction of the time
#: until the process is killed: the requests accepted last have to finish in the rest.
SHUTDOWN_ACCEPT_S = 3.0
SHUTDOWN_ACCEPT_FRACTION = 0.5
#: Factor by which some callers exceed the time for which they may cache a look-up answer.
LOOKUP_TTL_OVERRUN_FACTOR = 3.0
#: Maximum number of addresses in a look-up answer; callers accept no more.
MAX_LOOKUP_ADDRESSES = 64
#: Number of addresses up to which those of a zone are supplemented by as many others of its region.
LOOKUP_FILL_ADDRESSES = 16

#: Number of targets that serve an object, in rendezvous hashing order.
AFFINITY_CANDIDATES = 2
#: Load limits of these targets, as multiples of their slots. They are applied one after the other:
#: every target is filled up to the first limit, then every target up to the next.
AFFINITY_LOAD_LIMITS = (1.0, 1.5, 3.0)
#: The same for requests that have already waited longer than their answer is worth most.
LATE_LOAD_LIMITS = (1.0,)
#: Seconds that may pass until a retry that was counted arrives at its target.
RETRY_DELAY_S = 1.0
#: Seconds within which entries know a change of the entries' rows, while the store answers; an
#: entry that knows them as of an earlier moment has no share of what the fleet may spend.
ENTRIES_KNOWN_S = 6.0
#: Fraction of the allowed shift between regions that an entry uses, and the window in which the
#: shift is counted.
SHIFT_BUDGET_FRACTION = 2 / 3
SHIFT_WINDOW_S = 2.0
#: Fraction of the allowed shift that an entry uses for single requests of contended services that
#: spill to a region other than that of their object: 0.05 of the requests at the usual bound.
SPILL_BUDGET_FRACTION = 1 / 3
#: Half-life of a target's load report: the time after which it counts for half, against the
#: entry's own count.
LOAD_HALF_LIFE_S = 1.5
#: Maximum number of objects whose order of targets is cached.
AFFINITY_CACHE_OBJECTS = 20_000
#: Timeout for opening a connection to a target.
TARGET_CONNECT_S = 0.35
#: Time for which sent data may stay unanswered by the other side's kernel before a connection to
#: the store, a target or another entry is closed.
DEAD_PEER_TIMEOUT_S = 0.4
#: Consecutive failed connections or exchanges after which a target is ejected.
EJECTION_FAILURES = 3
#: Time for which a target is ejected, first and longest.
EJECTION_S = 0.3
MAX_EJECTION_S = 2.0
#: Maximum number of open files of a process, and those that are not available to connections of
#: callers: the platform keeps two hundred for files, and the store, other entries and listeners
#: need some.
MAX_FILES = 4096
RESERVED_FILES = 296
#: Fraction of the remaining files for connections of callers; most of those in use need another
#: connection to a target.
CALLER_FILES_FRACTION = 0.6
#: Maximum number of connections of callers, and the minimum however few files there are.
MAX_CALLER_CONNECTIONS = 3000
MIN_CALLER_CONNECTIONS = 32
#: Memory of a process in MB if its settings don't tell it, the fraction of it that answers may take
#: while they are received, and the minimum of that however little memory there is.
MEMORY_MB = 256
RECEIVED_MEMORY_FRACTION = 0.125
MIN_RECEIVED_BYTES = 1024 * 1024
#: Idle time for which a connection to a target is reused.
TARGET_IDLE_TIMEOUT_S = 3.0
#: Time that must be left until a request's deadline for it to be sent to a target.
MIN_SEND_TIME_LEFT_S = 0.02
#: Shortest Retry-After that callers of rejected requests are given.
STEER_RETRY_AFTER_S = 0.1
#: Maximum size of a request body that is buffered whole.
MAX_BUFFERED_UPLOAD_BYTES = 2 * 1024 * 1024
#: Maximum size of the head (status line and headers, interim answers included) of an answer of a
#: target or the store, and of all that comes between two pieces of its body.
MAX_ANSWER_HEAD_BYTES = 64 * 1024
#: Maximum size of what frames a body (chunk sizes, extensions, trailers) beyond that, by byte of
#: the body.
MAX_FRAMING_PER_BODY_BYTE = 16
#: Maximum number of bytes of a message that are parsed at a time.
PARSED_SLICE_BYTES = 16 * 1024
#: Parts of a message (header fields, pieces of the body) that may be parsed at once, and the
#: maximum rate of further parts, of all answers together and of all requests together.
FREE_PARTS = 64
MAX_PARTS_PER_S = 50_000
#: Time that a connection to a target may take before its service is suspected to be unreachable.
REACH_SLOW_CONNECT_S = 0.15
#: Time that a suspicion waits for a connection to any target of the service, time limit of a probe,
#: and time for which a request that could not be connected waits for the end of a check.
REACH_GRACE_S = 0.02
REACH_PROBE_S = 0.25
REACH_SETTLE_S = 0.1
#: Time limit of another entry's answer whether it reaches some targets, and the age up to which it
#: answers by its last connection to a target instead of a new one.
REACH_ASK_S = 0.8
REACH_KNOWN_S = 1.0
#: Number of entries that a check asks, first and at most.
REACH_ASKED_ENTRIES = 4
MAX_REACH_ASKED_ENTRIES = 16
#: Shortest time between two checks of a service that is reached, and the time after a check in
#: which nobody reached it, first and longest.
REACH_CHECK_INTERVAL_S = 0.5
REACH_RECHECK_S = 0.3
MAX_REACH_RECHECK_S = 2.0
#: Time between two rounds of probes of an entry that is cut off, and rounds between two questions
#: to others whether they still reach the service.
REACH_ROUND_S = 0.4
REACH_ROUNDS_PER_ASK = 5
#: Time for which probes have to succeed until an entry uses its own connections again, first and
#: longest, and the time after its return within which being cut off again doubles it.
REACH_HOLD_S = 0.8
MAX_REACH_HOLD_S = 8.0
REACH_RELAPSE_S = 30.0
#: Maximum number of requests in transit from one entry to another, those that an entry carries for
#: all others together, and the bytes of their bodies and answers.
MAX_TRANSITS_BY_ENTRY = 48
MAX_TRANSITS = 128
MAX_TRANSIT_BYTES = 16 * 1024 * 1024
#: Time limit for opening a stream to an entry that carries requests, times for which an entry that
#: could not carry one is not chosen (it reached no target, it carries as many as it may), and the
#: time after which a stream without requests is closed.
TRANSIT_CONNECT_S = 0.6
TRANSIT_AVOID_S = 1.0
TRANSIT_BUSY_S = 0.1
TRANSIT_IDLE_S = 30.0
#: Time between two signs of life of an entry that carries requests; without any for the first of
#: the other times other entries are preferred, and for the second its requests are given up if the
#: entry is not alive.
TRANSIT_BEAT_S = 0.2
TRANSIT_SILENT_S = 0.5
TRANSIT_LOST_S = 1.0
#: Retry-After of requests that no entry can carry.
TRANSIT_RETRY_AFTER_S = 0.5
