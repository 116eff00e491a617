use slog::{KV, Record, Result, Serializer};

/// A numbered log event. As a slog key-value it adds `event` (number) and `name` to a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Stable number; the thousands digit identifies the subsystem.
    pub number: u16,
    /// Stable snake_case name.
    pub name: &'static str,
    /// Description of the event for the catalogue.
    pub meaning: &'static str,
}

impl KV for Event {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> Result {
        serializer.emit_u16("event", self.number)?;
        serializer.emit_str("name", self.name)
    }
}

const fn event(number: u16, name: &'static str, meaning: &'static str) -> Event {
    Event {
        number,
        name,
        meaning,
    }
}

/// One constant for each event. Use as `slog::info!(log, "text"; events::PLACED, "key" => value)`.
pub mod events {
    use super::{Event, event};

    pub const HOST_STARTED: Event = event(1001, "host_started", "The entry host accepts connections.");
    pub const HOST_STOPPED: Event = event(
        1002,
        "host_stopped",
        "The entry host has finished all work and ends.",
    );
    pub const DRAIN_STARTED: Event = event(
        1003,
        "drain_started",
        "The host reports not ready and finishes the requests in flight.",
    );
    pub const CONNECTION_FAILED: Event = event(
        1004,
        "connection_failed",
        "A caller's connection ended with an error.",
    );

    pub const DRAIN_ENDING: Event = event(
        1005,
        "drain_ending",
        "The drain ends; requests whose answers have not begun get a final answer.",
    );

    pub const REFUSED: Event = event(
        2001,
        "request_refused",
        "A request was refused before it reached a target.",
    );
    pub const PLACED: Event = event(
        2002,
        "request_placed",
        "A target was chosen; lists cost terms and rejected candidates.",
    );
    pub const ANSWERED: Event = event(
        2003,
        "request_answered",
        "The whole answer was sent to the caller.",
    );
    pub const ATTEMPT_FAILED: Event = event(
        2004,
        "attempt_failed",
        "An attempt at a target failed; states the known outcome.",
    );
    pub const OUTCOME_UNKNOWN: Event = event(
        2005,
        "outcome_unknown",
        "A call was sent and its result is unknown.",
    );
    pub const CALLER_GONE: Event = event(
        2006,
        "caller_gone",
        "The caller closed the connection before the end of the answer.",
    );
    pub const LEDGER_CLOSED: Event = event(
        2100,
        "ledger_closed",
        "The table service did not answer; calls that must not be repeated are refused.",
    );
    pub const LEDGER_BACK: Event = event(
        2101,
        "ledger_back",
        "The table service answers again; waiting settlements are written.",
    );
    pub const RETRY_DECIDED: Event = event(
        2103,
        "retry_decided",
        "After a failed attempt: whether and when the request is sent again, or why not.",
    );
    pub const REQUEST_SUSPECTED: Event = event(
        2110,
        "request_suspected",
        "A target crashed with a request in flight; it runs next at a target without other suspects.",
    );
    pub const REQUEST_QUARANTINED: Event = event(
        2111,
        "request_quarantined",
        "A request was in flight at two target crashes and is refused from now on.",
    );
    pub const REQUEST_CLEARED: Event = event(
        2112,
        "request_cleared",
        "A suspect request succeeded, its row expired, or an operator cleared it.",
    );
    pub const SUSPECTS_UNWRITTEN: Event = event(
        2113,
        "suspects_unwritten",
        "Rows of suspects were not written to the table service in time; other hosts do not have them yet.",
    );
    pub const SETTLEMENTS_LEFT: Event = event(
        2102,
        "settlements_left",
        "The host stopped before all results were recorded; the affected keys will report may-have-run.",
    );

    pub const IMPORT_FAILED: Event = event(
        2200,
        "import_failed",
        "A target could not read cache from a store in time; it computes the prompt again.",
    );
    pub const EXPORT_FAILED: Event = event(2201, "export_failed", "Cache could not be written to a store.");

    pub const RESUMED: Event = event(
        2007,
        "stream_resumed",
        "An interrupted stream was resumed at its offset.",
    );

    pub const NOTE_STAGED: Event = event(
        3001,
        "note_staged",
        "The host holds a staged release note and enforces it too.",
    );
    pub const NOTE_IN_FORCE: Event = event(
        3002,
        "note_in_force",
        "A release note became the head on this host.",
    );
    pub const NOTE_REJECTED: Event = event(3003, "note_rejected", "A release note could not be applied.");
    pub const HEAD_UNCONFIRMED: Event = event(
        3004,
        "head_unconfirmed",
        "The host can not confirm the head of the release notes.",
    );

    pub const HEAD_CONFIRMED: Event = event(
        3005,
        "head_confirmed",
        "The host has confirmed the head of the release notes again and accepts new work.",
    );
    pub const HOST_SUPERSEDED: Event = event(
        3006,
        "host_superseded",
        "Another incarnation has registered under this host's name; the host accepts no new work.",
    );

    pub const ROSTER_CHANGED: Event = event(
        3010,
        "roster_changed",
        "The hosts that must acknowledge release notes have changed.",
    );
    pub const ROSTER_WAITS: Event = event(
        3011,
        "roster_waits",
        "A change of the roster waits for hosts that have not confirmed it.",
    );
    pub const ROSTER_UNCHANGED: Event = event(
        3012,
        "roster_unchanged",
        "The roster could not be changed; the change is retried.",
    );
    pub const LIST_READ: Event = event(4001, "list_read", "The platform's list of hosts changed.");
    pub const LIST_DISTRUSTED: Event = event(
        4002,
        "list_distrusted",
        "Too many hosts disappeared from the list at once; the last accepted list stays in use.",
    );
    pub const PLATFORM_FAILED: Event = event(4003, "platform_failed", "A call to the platform failed.");
    pub const PLATFORM_BACK: Event = event(4004, "platform_back", "The platform answers again.");
    pub const PEER_SUSPECTED: Event = event(
        4005,
        "peer_suspected",
        "Another entry host did not answer direct or indirect probes.",
    );
    pub const PEER_DEAD: Event = event(4006, "peer_dead", "Another entry host is considered dead.");
    pub const PEER_BACK: Event = event(4007, "peer_back", "Another entry host answers again.");
    pub const PEER_RESTARTED: Event = event(
        4008,
        "peer_restarted",
        "Another entry host has restarted with a new incarnation.",
    );
    pub const ISOLATED: Event = event(
        4009,
        "isolated",
        "Too many neighbours do not answer at once; the last accepted view stays in use.",
    );
    pub const REJOINED: Event = event(4010, "rejoined", "The neighbours answer again.");
    pub const CONTROL_PAUSED: Event = event(
        4011,
        "control_paused",
        "The control thread was paused; state received before the pause is stale.",
    );

    pub const ROUTE_PLACED: Event = event(
        5001,
        "route_placed",
        "A target was chosen for a request on a declared route; gives the cost, the expected time, the versions of the declarations that decided and that admitted the request, and the software version of the target.",
    );
    pub const ROUTE_REFUSED: Event = event(
        5002,
        "route_refused",
        "A request on a declared route was refused; states whether it ran, by which version of the declarations that was decided, and how long ago these were last known to be current.",
    );
    pub const ROUTE_ANSWERED: Event = event(
        5003,
        "route_answered",
        "A request on a declared route was answered.",
    );
    pub const ROUTE_ATTEMPT_FAILED: Event = event(
        5004,
        "route_try_failed",
        "An attempt at a target failed; states the known outcome.",
    );
    pub const ROUTE_INTERRUPTED: Event =
        event(5005, "route_cut", "A stream on a declared route was interrupted.");
    pub const ROUTE_RESUMED: Event = event(
        5006,
        "route_resumed",
        "A stream on a declared route was resumed at another target.",
    );
    pub const CRASH_NOT_SHARED: Event = event(
        5007,
        "crash_untold",
        "A crash is not reported to other hosts: too many at once, or the store did not take the row.",
    );
    pub const METRICS_MISSING: Event = event(
        5008,
        "metrics_missing",
        "The metrics can not be exported; requests are served without them.",
    );
    pub const LINES_LEFT_OUT: Event = event(
        5009,
        "lines_left_out",
        "The rate limit for log lines was exceeded; counts the lines left out in one second.",
    );
    pub const STORE_LOST: Event = event(
        5010,
        "store_lost",
        "Calls to the platform's store fail; changes are requested from other hosts.",
    );
    pub const STORE_BACK: Event = event(5011, "store_back", "The platform's store answers again.");
    pub const RECORD_UNUSABLE: Event = event(
        5012,
        "record_unusable",
        "A row of the platform's store can not be used.",
    );
    pub const STATE_CHANGED: Event = event(
        5013,
        "beliefs_changed",
        "The host's cached state of declarations, targets or hosts changed; gives the time since the declarations were last known to be current, and the number of entries whose service is not declared, which are not used.",
    );
    pub const PEER_READ: Event = event(
        5014,
        "peer_read",
        "Changes were received from another host while the store does not answer.",
    );
    pub const KEPT_CACHE_DROPPED: Event = event(
        5015,
        "kept_dropped",
        "A store of kept cache was ordered to drop parts that no request uses: of replaced weights, or shared by other workspaces than now.",
    );
    pub const HOST_UNREACHABLE: Event = event(
        5016,
        "host_silent",
        "Two checks of another host failed; its entry is removed unless it has registered again.",
    );
    pub const KEPT_STORE_AVAILABLE: Event = event(
        5017,
        "kept_heard",
        "A store of kept cache answers, or answers again; gives its run and failure domain.",
    );
    pub const KEPT_STORE_UNAVAILABLE: Event = event(
        5018,
        "kept_lost",
        "A store of kept cache does not answer; nothing is fetched from it or saved to it.",
    );
    pub const WEIGHTS_TIME_RECORDED: Event = event(
        5019,
        "weights_time_recorded",
        "The host recorded in the shared table when it received declared weights, for hosts that start later.",
    );
    pub const LEASE_TAKEN: Event = event(
        5020,
        "lease_taken",
        "The host acquired the lease for orders to engines.",
    );
    pub const WEIGHTS_ORDERED: Event = event(
        5021,
        "weights_ordered",
        "An engine was ordered to load weights; gives the engine's answer.",
    );
    pub const REPLACED_WEIGHTS_USED: Event = event(
        5022,
        "replaced_weights_used",
        "An answer began on replaced weights; gives their age since newer ones were declared and the wait at the target.",
    );
    pub const CRASH_REPORTED: Event = event(
        5023,
        "crash_reported",
        "A connection broke with a request in flight; gives the progress of the answer and the suspect parts of the prompt.",
    );
    pub const PART_QUARANTINED: Event = event(
        5024,
        "part_quarantined",
        "Targets crashed on requests that share a prompt part; requests with the part are refused from now on.",
    );
    pub const PART_RELEASED: Event = event(
        5025,
        "part_released",
        "A prompt part left the quarantine: it succeeded, another part explains the crashes, or they expired.",
    );
    pub const PART_SUCCEEDED: Event = event(
        5026,
        "part_succeeded",
        "A target answered a request with a suspected prompt part; earlier crashes no longer count against it.",
    );
    pub const STORE_RESTORED: Event = event(
        5027,
        "store_restored",
        "The platform's store came back from an older copy; gives the eras and the targets that it does not have.",
    );
    pub const STORE_ANSWER_IGNORED: Event = event(
        5028,
        "store_answer_ignored",
        "An answer of the platform's store was not used: malformed, or older than what is known.",
    );
    pub const LOST_ROW_WRITTEN: Event = event(
        5029,
        "lost_row_written",
        "A row of the shared table that the restored store had lost was written again, or could not be.",
    );
    pub const TARGET_LEAVING: Event = event(
        5030,
        "target_leaving",
        "A target has said in an answer that it is leaving; this host sends nothing more to its run.",
    );
    pub const PAUSE_REQUESTED: Event = event(
        5031,
        "pause_requested",
        "A target refused a request and wants no others from this host for the given time.",
    );
    pub const TARGET_LIMITED: Event = event(
        5032,
        "target_limited",
        "A target has named the requests per second that it takes from all hosts together; without a number, the value can not be used.",
    );
    pub const TARGET_UNLIMITED: Event =
        event(5033, "target_unlimited", "A target has stopped naming a limit.");
    pub const LIMIT_RECORDED: Event = event(
        5034,
        "limit_recorded",
        "The record that tells other hosts of a target's limit was written, or removed if it has no number; gives the result.",
    );
    pub const REFUSAL_UNPROVEN: Event = event(
        5035,
        "refusal_unproven",
        "A target answered with a status that promises that the request has not run, without stating that; the status does not reach the caller.",
    );
    pub const LOAD_SLOT_RESERVED: Event = event(
        5036,
        "load_slot_reserved",
        "The holder of the lease reserves one of the slots for loading weights for an engine; gives the slots in use.",
    );
    pub const LOAD_SLOT_GIVEN_UP: Event = event(
        5037,
        "load_slot_given_up",
        "An engine with a slot for loading weights has not answered for so long that no order to it can have an effect any more; others get the slot.",
    );
    pub const ANSWER_ABANDONED: Event = event(
        5038,
        "answer_abandoned",
        "A call to the platform's store or to another host was given up while its answer arrived; gives the bytes received.",
    );
    pub const LARGE_ANSWER: Event = event(
        5039,
        "large_answer",
        "A large answer with rows was received from the platform's store; gives the bytes of the rows and the time since the call.",
    );
    pub const BODY_EVICTED: Event = event(
        5040,
        "body_evicted",
        "Request bodies that made no or the least progress were evicted to free memory; gives their number. They were not run.",
    );
    pub const NO_MEMORY: Event = event(
        5041,
        "no_memory",
        "Bodies or answers found no room in the memory budget; gives their number.",
    );
    pub const CONNECTIONS_CLOSED: Event = event(
        5042,
        "connections_closed",
        "Connections without a whole request were closed, or new ones refused, for lack of memory or descriptors.",
    );
    pub const ANSWER_UNREAD: Event = event(
        5043,
        "answer_unread",
        "Connections were closed whose callers did not read their answers, as the memory was needed.",
    );
    pub const HEAD_LATE: Event = event(
        5044,
        "head_late",
        "Connections were closed whose heads did not arrive in the time that the operator's limits allow.",
    );
    pub const HEAD_TOO_LARGE: Event = event(
        5045,
        "head_too_large",
        "Requests were refused whose head is larger than the operator's limits allow.",
    );
    pub const ANSWER_TOO_LARGE: Event = event(
        5046,
        "answer_too_large",
        "Answers of targets, stores or other hosts were larger than their kind may be; gives their number. Their connections were closed.",
    );
    pub const EVACUATION_BEGAN: Event = event(
        5050,
        "evacuation_began",
        "The operator evacuated a failure domain; no request is sent to targets in it from now on.",
    );
    pub const EVACUATION_ENDED: Event = event(
        5051,
        "evacuation_ended",
        "The evacuation of a failure domain ended; its targets receive requests again.",
    );
    pub const CACHE_SCOPE_CHANGED: Event = event(
        5052,
        "cache_scope_changed",
        "The operator isolated a workspace or ended that; the other workspaces share cache in another scope from now on.",
    );
    pub const TARGETS_COLD: Event = event(
        5060,
        "targets_cold",
        "Targets have become cold, or are presumed cold; this host sends to them only within its quota.",
    );
    pub const TARGETS_WARM: Event = event(
        5061,
        "targets_warm",
        "Targets are no longer cold; this host sends to them without a quota.",
    );
    pub const ADDRESS_TAKEN_OVER: Event = event(
        5062,
        "address_taken_over",
        "The address of a listed target is also listed for one that started later, whose run and service it gives; the earlier one gets no more requests.",
    );
    pub const CAPACITY_SHORT: Event = event(
        5070,
        "capacity_short",
        "Requests wait at the engines of a service; a share of the least urgent ones is refused from now on.",
    );
    pub const CAPACITY_ENOUGH: Event = event(
        5071,
        "capacity_enough",
        "The engines of a service have capacity for all requests again; gives how long it was short.",
    );
    pub const STREAM_RESUMPTION: Event = event(
        5089,
        "stream_resumption",
        "A caller resumes a stream; gives the attempt that began it, the software version that it must go on at, if known, and what that is concluded from.",
    );
    pub const ORIGINS_UNWRITTEN: Event = event(
        5090,
        "origins_unwritten",
        "Records of the software versions that began streams are not written yet; the write is repeated.",
    );
    pub const ORIGINS_REMOVED: Event = event(
        5091,
        "origins_removed",
        "Records of streams that can not be taken up any more were removed, or could not be.",
    );
    pub const ORIGIN_FOUND: Event = event(
        5092,
        "origin_found",
        "The software version that began a stream was looked up; without a version, there is no record.",
    );
    pub const ORIGIN_UNKNOWN: Event = event(
        5093,
        "origin_unknown",
        "The software version that began a stream can not be determined; the request is refused.",
    );
    pub const ORIGIN_REFUSED: Event = event(
        5094,
        "origin_refused",
        "The origin of a stream is not recorded: too many records, or the stream already has another one.",
    );
    pub const ORIGINS_NOT_COPIED: Event = event(
        5095,
        "origins_not_copied",
        "Another host did not take the copies of the software versions that began streams; the next one is asked.",
    );
    pub const BASELINE_CREATED: Event = event(
        5096,
        "baseline_created",
        "The software version at which the streams of a service began that have no record was written for the first time.",
    );
    pub const BASELINE_CHANGED: Event = event(
        5097,
        "baseline_changed",
        "Another software version alone has been listed for a service for the lifetime of a stream, and became its baseline.",
    );
    pub const BASELINE_CONFIRMED: Event = event(
        5098,
        "baseline_confirmed",
        "The baseline of a service was written again, as a restored store may have lost a later one.",
    );
    pub const BASELINE_NOT_WRITTEN: Event = event(
        5099,
        "baseline_not_written",
        "The store did not answer the write of a service's baseline; it is repeated.",
    );
    pub const BASELINE_UNKNOWN: Event = event(
        5100,
        "baseline_unknown",
        "A stream of a service without a record can be of any software version from now on, and is refused if a caller resumes it.",
    );
    pub const CHANGES_NOT_UNPACKED: Event = event(
        5110,
        "changes_not_unpacked",
        "Changes from another host could not be unpacked; they are requested again, complete.",
    );
}

/// All events, ordered by number.
pub const ALL_EVENTS: &[Event] = &[
    events::HOST_STARTED,
    events::HOST_STOPPED,
    events::DRAIN_STARTED,
    events::CONNECTION_FAILED,
    events::REFUSED,
    events::PLACED,
    events::ANSWERED,
    events::ATTEMPT_FAILED,
    events::OUTCOME_UNKNOWN,
    events::CALLER_GONE,
    events::RESUMED,
    events::LEDGER_CLOSED,
    events::LEDGER_BACK,
    events::SETTLEMENTS_LEFT,
    events::RETRY_DECIDED,
    events::REQUEST_SUSPECTED,
    events::REQUEST_QUARANTINED,
    events::REQUEST_CLEARED,
    events::SUSPECTS_UNWRITTEN,
    events::IMPORT_FAILED,
    events::EXPORT_FAILED,
    events::NOTE_STAGED,
    events::NOTE_IN_FORCE,
    events::NOTE_REJECTED,
    events::HEAD_UNCONFIRMED,
    events::HEAD_CONFIRMED,
    events::HOST_SUPERSEDED,
    events::ROSTER_CHANGED,
    events::ROSTER_WAITS,
    events::ROSTER_UNCHANGED,
    events::LIST_READ,
    events::LIST_DISTRUSTED,
    events::PLATFORM_FAILED,
    events::PLATFORM_BACK,
    events::PEER_SUSPECTED,
    events::PEER_DEAD,
    events::PEER_BACK,
    events::PEER_RESTARTED,
    events::ISOLATED,
    events::REJOINED,
    events::CONTROL_PAUSED,
    events::ROUTE_PLACED,
    events::ROUTE_REFUSED,
    events::ROUTE_ANSWERED,
    events::ROUTE_ATTEMPT_FAILED,
    events::ROUTE_INTERRUPTED,
    events::ROUTE_RESUMED,
    events::CRASH_NOT_SHARED,
    events::METRICS_MISSING,
    events::LINES_LEFT_OUT,
    events::STORE_LOST,
    events::STORE_BACK,
    events::RECORD_UNUSABLE,
    events::STATE_CHANGED,
    events::PEER_READ,
    events::KEPT_CACHE_DROPPED,
    events::HOST_UNREACHABLE,
    events::KEPT_STORE_AVAILABLE,
    events::KEPT_STORE_UNAVAILABLE,
    events::WEIGHTS_TIME_RECORDED,
    events::LEASE_TAKEN,
    events::WEIGHTS_ORDERED,
    events::REPLACED_WEIGHTS_USED,
    events::CRASH_REPORTED,
    events::PART_QUARANTINED,
    events::PART_RELEASED,
    events::PART_SUCCEEDED,
    events::STORE_RESTORED,
    events::STORE_ANSWER_IGNORED,
    events::LOST_ROW_WRITTEN,
    events::TARGET_LEAVING,
    events::PAUSE_REQUESTED,
    events::TARGET_LIMITED,
    events::TARGET_UNLIMITED,
    events::LIMIT_RECORDED,
    events::REFUSAL_UNPROVEN,
    events::LOAD_SLOT_RESERVED,
    events::LOAD_SLOT_GIVEN_UP,
    events::ANSWER_ABANDONED,
    events::LARGE_ANSWER,
    events::BODY_EVICTED,
    events::NO_MEMORY,
    events::CONNECTIONS_CLOSED,
    events::ANSWER_UNREAD,
    events::HEAD_LATE,
    events::HEAD_TOO_LARGE,
    events::ANSWER_TOO_LARGE,
    events::EVACUATION_BEGAN,
    events::EVACUATION_ENDED,
    events::CACHE_SCOPE_CHANGED,
    events::TARGETS_COLD,
    events::TARGETS_WARM,
    events::ADDRESS_TAKEN_OVER,
    events::CAPACITY_SHORT,
    events::CAPACITY_ENOUGH,
    events::STREAM_RESUMPTION,
    events::ORIGINS_UNWRITTEN,
    events::ORIGINS_REMOVED,
    events::ORIGIN_FOUND,
    events::ORIGIN_UNKNOWN,
    events::ORIGIN_REFUSED,
    events::ORIGINS_NOT_COPIED,
    events::BASELINE_CREATED,
    events::BASELINE_CHANGED,
    events::BASELINE_CONFIRMED,
    events::BASELINE_NOT_WRITTEN,
    events::BASELINE_UNKNOWN,
    events::CHANGES_NOT_UNPACKED,
];

/// Returns the catalogue of all events as a Markdown table. `docs/EVENTS.md` ends with the same text.
///
/// ```
/// assert!(errors::event_catalogue().contains("| 1001 | `host_started` |"));
/// ```
pub fn event_catalogue() -> String {
    let mut text = String::from("| Number | Name | Meaning |\n| --- | --- | --- |\n");
    for event in ALL_EVENTS {
        text.push_str(&format!(
            "| {} | `{}` | {} |\n",
            event.number, event.name, event.meaning
        ));
    }
    text
}

#[cfg(test)]
mod tests {
    use super::{ALL_EVENTS, event_catalogue};

    #[test]
    fn the_documented_catalogue_is_this_one() {
        let page = include_str!("../../../docs/EVENTS.md");
        assert!(
            page.ends_with(&event_catalogue()),
            "write the output of `laburnumtally events` into docs/EVENTS.md"
        );
    }

    #[test]
    fn numbers_grow_and_names_are_unique() {
        assert!(ALL_EVENTS.windows(2).all(|w| w[0].number < w[1].number));
        let mut names: Vec<_> = ALL_EVENTS.iter().map(|e| e.name).collect();
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), ALL_EVENTS.len());
    }
}
