package logger

// Event describes one kind of log line of an entry that package launcher runs.
type Event struct {
	// Name is the value of the key event in the line.
	Name string
	// Meaning explains to operators when the line is written and what its consequences are.
	Meaning string
	// Fields are the keys of the line in addition to time, level, layer and event.
	Fields []string
}

// Events lists all events that an entry run by package launcher logs, sorted by name.
var Events = []Event{
	{"accept_peer", "A connection from another entry could not be accepted. Heartbeats from other entries are lost until one can.", []string{"error"}},
	{"attempt", "An attempt did not end in a complete response. Verdict: unsent (no connection), not_run (the upstream states that it did not run the request), broken (may have run), failed (ran and failed). Tunnelled is true if the request was sent through another entry, link_at_fault if the links of this entry or of a relay failed rather than the upstream. Content is the fingerprint of the request, left_ms the time left until its deadline. Parts are hashes of the parts that the prompt may share with others, each followed by a hash of the organisation; writing_ms is the time since the first event, 0 without one.", []string{"request", "verdict", "upstream", "address", "helpers", "tunnelled", "link_at_fault", "left_ms", "content", "parts", "writing_ms", "error"}},
	{"beat_failed", "A heartbeat was not answered (debug). Another entry is declared dead after one second without an answer.", []string{"peer", "error"}},
	{"callers_left_unanswered", "The entry exits before all of its last responses were sent. In_flight is the number of requests without a response.", []string{"in_flight", "error"}},
	{"configuration", "A newer revision of the configuration is in force. Source is the store, or the entry that it was fetched from.", []string{"id", "change", "revision", "source"}},
	{"configuration_unreadable", "A newer revision of the configuration could not be read. The one in force stays.", []string{"revision", "source", "error"}},
	{"evacuation", "The operator evacuates the data centre id, or no longer does. Change is evacuated or evacuation_ended. While it lasts, the upstreams of that data centre get no new requests. Source is the store, or the entry that the change was fetched from.", []string{"id", "change", "revision", "source"}},
	{"fetch_failed", "Another entry has newer state of the store, and it could not be fetched in time. The next heartbeat tries again.", []string{"source", "error"}},
	{"incarnation_raised", "Another entry, named by source, knows this one by a higher incarnation, as this entry's clock was ahead when it started before. This entry goes on with a higher one.", []string{"incarnation", "known", "source"}},
	{"invariant_violated", "An invariant was violated, or an operation that would have violated it was refused. The request concerned fails. Report this as a fault of the program.", []string{"invariant", "detail"}},
	{"item_unreadable", "An item of the store that does not belong to an upstream could not be read. All other items are applied.", []string{"error"}},
	{"items_unreadable", "A response of the store held more unreadable items than are logged one by one. Count is the number of all of them, logged the number of those logged.", []string{"count", "logged"}},
	{"log_lines_dropped", "The log was read too slowly. Count lines that precede this one were dropped.", []string{"count"}},
	{"member", "The state of another entry, as seen by this one, changed.", []string{"name", "from", "to", "reason"}},
	{"memory_unused", "Memory reserved at engines for a prompt stayed unused for too long because the engine did not start the request. The attempt ends and the memory is released.", []string{"request", "engines", "age_ms"}},
	{"panic", "A panic, which is a fault of the program. The request concerned fails.", []string{"request", "value", "stack"}},
	{"part_cleared", "An upstream has answered a prompt with a suspected part, so that the part is not suspected any more. Age_ms is the time since the first crash.", []string{"part", "crashes", "chance", "age_ms", "source"}},
	{"part_quarantined", "Prompts that hold all of these parts are refused from now on, for left_ms, as they crash the upstreams that begin to answer them. Part holds hashes as parts in the lines attempt and upstream_ended; without a hash of the organisation it is the part of the prompts of all. Crashes is the number of upstreams that crashed one after the other, chance the probability of that if the parts cause none of it, age_ms the time since the first. Source is own, or the entry that the quarantine was adopted from.", []string{"part", "crashes", "chance", "age_ms", "source", "left_ms"}},
	{"part_refused", "A request was refused because of parts of its prompt. Certain is false if the parts are only suspected, or their quarantine has ended and another request is tried.", []string{"request", "part", "certain", "crashes", "age_ms", "retry_after_ms"}},
	{"part_released", "A quarantine of parts has ended: an upstream has answered a prompt with the part, or nobody has sent one for ten minutes after its end.", []string{"part", "crashes", "chance", "age_ms", "source"}},
	{"part_suspected", "Upstreams crashed one after the other while they ran prompts with this part, and none has answered one since. Such prompts are tried one at a time, by entries in turn, until it is certain.", []string{"part", "crashes", "chance", "age_ms", "source"}},
	{"part_tried", "A request is sent although parts of its prompt may crash its upstream, alone where possible: the parts are suspected, their quarantine has ended, or the response to the request broke off before.", []string{"request", "part"}},
	{"place", "An upstream was chosen for an attempt. Expected_ms is the expected time to the first byte. Running, prefill_ms and memory_used are the load of the upstream before this request: the number of its requests, the time that it needs to prefill their prompts, and the memory in use in tokens. Failure_rate is the fraction of requests expected to fail, by the results of all entries. List_age_ms is the time since the store confirmed the list of upstreams.", []string{"request", "service", "upstream", "data_centre", "helpers", "helper_ids", "expected_ms", "running", "prefill_ms", "memory_used", "failure_rate", "attempt", "config_revision", "list_age_ms"}},
	{"quarantined", "A request that crashes the upstreams that run it is refused from now on, whatever its request ID, for left_ms. Content is the fingerprint of the request, strikes the number of upstreams that crashed while they ran it. Chance is the probability of these crashes if the request causes none of them. Both are 0 if the quarantine was adopted from another entry. Source is own, or that entry.", []string{"content", "strikes", "chance", "left_ms", "source"}},
	{"relay", "A connection to an upstream was requested from another entry, named by relay, because a direct one failed or was late, or because this entry is cut off from all upstreams. Outcome is that of the line tunnel of the relay, or empty if it did not answer.", []string{"request", "relay", "address", "cut_off", "took_ms", "outcome", "error"}},
	{"release_failed", "Memory reserved at an engine could not be released. The engine frees it when its lease expires.", []string{"request", "engine", "lease_ms", "error"}},
	{"reload", "The settings were reloaded, on SIGHUP or because they had changed.", []string{"signalled", "changed", "seeds"}},
	{"renewal_failed", "The lease of reserved memory could not be renewed. The lease expires after two more failures.", []string{"request", "error"}},
	{"report_failed", "An engine did not report whether reserved memory is used. The memory is treated as unused.", []string{"request", "engine", "error"}},
	{"request", "A request ended. Outcome is answered, or the reason why the request failed; see the command explain. Answer is the maximum number of tokens that the request allows in the response. Stop_left_ms is the time from the arrival of the request to the exit of an entry that shuts down. Longest_pause_ms is the longest gap between two events.", []string{"request", "outcome", "status", "took_ms", "attempts", "prompt", "content", "answer", "answer_hint", "events", "route", "kind", "config_revision", "stop_left_ms", "first_ms", "longest_pause_ms", "error", "retry_after_ms"}},
	{"requests_cut_off", "The time for shutting down ended with requests in progress. They are cancelled.", []string{"in_flight"}},
	{"reserved", "Memory was reserved for one prompt at engines, besides the one that answers it. Engines is their number, lease_ms the lease of the memory.", []string{"request", "engines", "lease_ms"}},
	{"retry_budget_used_up", "A request was not retried because this entry's share of the retry budget of its service was exhausted. Spent is the number of retries that the entry has made within the window of the budget, allowed the number that it may make. Entries is the number of entries among which it divides the part of the budget that does not depend on requests, counting_ms the time for which it has counted.", []string{"request", "service", "spent", "allowed", "entries", "counting_ms"}},
	{"serve_peers", "Requests of other entries can't be served. This is a fault of the program.", []string{"error"}},
	{"settings_unreadable", "The settings could not be read. The ones in force stay.", []string{"error"}},
	{"share_malformed", "A load update of another entry could not be decoded; the entries may run different versions. Logged at most once a second; skipped is the number of malformed updates since the previous line.", []string{"from", "skipped", "error"}},
	{"share_not_read", "A load update of another entry could not be received (debug).", []string{"error"}},
	{"share_not_sent", "This entry's load update could not be sent to another entry (debug).", []string{"peer", "error"}},
	{"started", "The entry listens on its addresses.", []string{"name", "data_centre", "callers", "peers"}},
	{"status_not_sent", "The status page could not be sent because the client closed the connection (debug).", []string{"error"}},
	{"stopped", "The entry exits.", []string{"name"}},
	{"stopping", "The entry received SIGTERM and starts to shut down. The directory no longer gives its address to callers.", []string{"in_flight", "grace_ms"}},
	{"store_behind", "A complete read of the store returned an older revision, read_revision, than the one that the entry has. Epoch is the number of times that the store has gone back to an older copy.", []string{"revision", "read_revision", "epoch"}},
	{"store_epoch", "The store has returned from an older copy of its content, or was read for the first time. Epoch counts how often; revisions of the store are those of a new history from now on. Previous and previous_revision are the epoch and the revision before. Source is the store, or the entry that the state was fetched from.", []string{"epoch", "previous", "revision", "previous_revision", "source"}},
	{"store_history_gone", "The store has discarded changes that the entry has not read. The entry reads the complete state instead.", []string{"revision"}},
	{"store_lost", "The store does not answer. The last known state stays in force, and changes are taken from other entries.", []string{"error", "revision"}},
	{"store_regained", "The store answers again.", []string{"revision"}},
	{"strained", "This entry is overloaded, or no longer is. It is overloaded when its timers fire late; lag_ms is by how much. Meanwhile callers are directed to other entries.", []string{"strained", "lag_ms"}},
	{"tunnel", "Another entry, named by from, requested a connection to an upstream through this one. Outcome is opened, refused or unreachable (the upstream, while this entry reaches others), cut_off (this entry reaches no upstream either), busy, stopping, or unlisted (this entry's list has no such upstream).", []string{"request", "from", "address", "outcome"}},
	{"tunnel_ended", "A connection that this entry opened for another one ended. Outcome is closed, by the other entry or after the upstream had closed it, or lease_expired if the other entry has not used it for three seconds.", []string{"request", "from", "address", "outcome", "took_ms"}},
	{"tunnel_not_closed", "A relay could not be told that a connection through it is no longer needed (debug). Its lease expires.", []string{"relay", "error"}},
	{"upstream", "The state of an upstream, as seen by this entry, changed. Change is appeared, leaving, gone, cold, held_after_outage, unused or unreadable; for unreadable, error names the invalid fields.", []string{"id", "change", "revision", "source", "error"}},
	{"upstream_ended", "A response broke off, and its upstream no longer accepts connections, or was registered as another incarnation soon after. Request is missing in the latter case. Ran_ms is the time since the request was sent. Content is the fingerprint, which is equal for requests with equal content. Parts are hashes of the parts that the prompt may share with others, each followed by a hash of the organisation; writing_ms is the time since the first event, 0 without one.", []string{"request", "content", "upstream", "address", "ran_ms", "parts", "writing_ms"}},
	{"upstream_leaving", "A response stated that its upstream is leaving.", []string{"request", "upstream", "address"}},
	{"upstream_limit", "The rate limit of an upstream changed. Per_second is the number of requests per second that it accepts from all entries together; limited is false if it no longer has a limit. Source is response if the response to the request stated it, or the address of the entry that reported it.", []string{"request", "upstream", "address", "limited", "per_second", "source"}},
	{"upstream_limit_unreadable", "A response stated a rate limit that can't be read. The one in force stays.", []string{"request", "upstream", "error"}},
	{"upstream_pauses", "An upstream refused a request and asked this entry to send it none for pause_ms.", []string{"request", "upstream", "address", "pause_ms"}},
	{"upstreams_lost", "This entry is cut off from all upstreams: its connections to failed different upstreams could not be opened, and none could in between. Contact_age_ms is the time since one could; address and error are those of the last failure.", []string{"failed", "contact_age_ms", "address", "error"}},
	{"upstreams_regained", "This entry, which was cut off from all upstreams for lost_ms, reaches them again. Address is that of the last upstream reached.", []string{"address", "lost_ms"}},
	{"upstreams_unreadable", "The store held more unreadable registrations of upstreams than are logged one by one. Count is the number of all of them, logged the number of those logged.", []string{"count", "logged", "source"}},
	{"wait", "A prompt waits at this entry until engines are less loaded or it would delay other requests less. Expected_ms is the expected time to its first event if it were placed now, patience_ms the time for which its caller still waits for that event.", []string{"request", "service", "reason", "expected_ms", "patience_ms"}},
	{"woke", "This process or its instance was suspended for paused_ms. All of its state is treated as unconfirmed until it is confirmed again.", []string{"paused_ms"}},
	{"yield", "A long prompt gives up its placement, because another entry placed one at some of the same engines at the same time. The prompt is placed again, or waits.", []string{"request", "service", "upstream", "helpers", "expected_ms"}},
}
