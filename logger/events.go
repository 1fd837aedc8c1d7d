package logger

// Event is one kind of log line of an entry on the platform.
type Event struct {
	Name string
	// Meaning says when the line is written and what follows from it.
	Meaning string
	// Fields are the keys of the line, beside time, level, layer and event.
	Fields []string
}

// Events lists every event of an entry on the platform, by name.
var Events = []Event{
	{"accept_peer", "A connection of another entry could not be accepted; heartbeats are lost until it can.", []string{"error"}},
	{"attempt", "A send to an upstream did not end in a whole answer. Verdict: unsent (no connection), not_run (the upstream says so), broken (may have run), failed (ran and failed).", []string{"request", "verdict", "upstream", "address", "helpers", "left_ms", "content", "error"}},
	{"beat_failed", "A heartbeat was not answered (debug); after a second of silence the member counts as dead.", []string{"peer", "error"}},
	{"callers_left_unanswered", "The entry ends, and not all of its last answers were sent.", []string{"in_flight", "error"}},
	{"configuration", "A newer configuration is in force.", []string{"id", "change", "revision", "source"}},
	{"configuration_unreadable", "A newer configuration can't be read; the one in force stays.", []string{"revision", "source", "error"}},
	{"fetch_failed", "Another entry knows more of the store and did not tell in time; the next heartbeat asks again.", []string{"source", "error"}},
	{"invariant_violated", "A promise was about to be broken or was; the request concerned fails. Report it.", []string{"invariant", "detail"}},
	{"item_unreadable", "An item of the store could not be read and names no upstream; the others hold.", []string{"error"}},
	{"items_unreadable", "More items of one answer of the store could not be read than are logged one by one.", []string{"count", "logged"}},
	{"log_lines_dropped", "The reader of the log was slow; that many lines are missing before this one.", []string{"count"}},
	{"member", "The belief about another entry changed.", []string{"name", "from", "to", "reason"}},
	{"memory_unused", "Memory set aside for a prompt was not used for long, as its engine does not begin; the attempt ends and the memory is given back.", []string{"request", "engines", "age_ms"}},
	{"panic", "A fault of the program; the request concerned fails.", []string{"request", "value", "stack"}},
	{"place", "An upstream was chosen. Memory_used is in tokens, failure_rate the part of requests that it is expected to fail, by what all entries saw; list_age_ms is how long ago the store confirmed the list.", []string{"request", "service", "upstream", "data_centre", "helpers", "helper_ids", "expected_ms", "running", "prefill_ms", "memory_used", "failure_rate", "attempt", "config_revision", "list_age_ms"}},
	{"quarantined", "A request that crashes the upstreams that run it is refused from now on, whatever id it has. Strikes are the upstreams that ended under it one after the other, chance how likely that is for another; source is own, or the entry that told.", []string{"content", "strikes", "chance", "left_ms", "source"}},
	{"release_failed", "Memory at an engine could not be given back; it ends with its lease.", []string{"request", "engine", "lease_ms", "error"}},
	{"reload", "The settings were read again, by SIGHUP or because they changed.", []string{"signalled", "changed", "seeds"}},
	{"renewal_failed", "Reserved memory could not be renewed; it lapses after two more failures.", []string{"request", "error"}},
	{"report_failed", "An engine did not say whether memory set aside is used; it counts as unused.", []string{"request", "engine", "error"}},
	{"request", "A request ended. Outcome is answered or the reason; see explain. Answer are the tokens that it allows, stop_left_ms is how long before the end of a stopping entry it came.", []string{"request", "outcome", "status", "took_ms", "attempts", "prompt", "content", "answer", "answer_hint", "events", "route", "kind", "config_revision", "stop_left_ms", "first_ms", "longest_pause_ms", "error", "retry_after_ms"}},
	{"requests_cut_off", "The time to stop was over before all requests were done.", []string{"in_flight"}},
	{"reserved", "Memory was set aside at several engines for one prompt.", []string{"request", "engines", "lease_ms"}},
	{"retry_budget_used_up", "A request was not sent once more because the shared budget had nothing left.", []string{"request", "service"}},
	{"serve_peers", "Other entries can't be served; a fault of the program.", []string{"error"}},
	{"settings_unreadable", "The settings could not be read again; the ones in force stay.", []string{"error"}},
	{"share_malformed", "Another entry's load could not be read; versions may differ. One line a second, with the count of those between.", []string{"from", "skipped", "error"}},
	{"share_not_read", "Another entry's load was not received (debug).", []string{"error"}},
	{"share_not_sent", "This entry's load was not sent to one other (debug).", []string{"peer", "error"}},
	{"started", "The entry listens.", []string{"name", "data_centre", "callers", "peers"}},
	{"status_not_sent", "An operator asked what the entry believes and left before the answer (debug).", []string{"error"}},
	{"stopped", "The entry ends.", []string{"name"}},
	{"stopping", "SIGTERM came; no new callers are sent here.", []string{"in_flight", "grace_ms"}},
	{"store_history_gone", "The store dropped changes that were not read; the whole state is read.", []string{"revision"}},
	{"store_lost", "The store did not answer; what is believed stays in force, and other entries are listened to.", []string{"error", "revision"}},
	{"store_regained", "The store answers again.", []string{"revision"}},
	{"strained", "This entry has more to do than it can, by how late its own clock ticks, or no longer has; callers are sent to others meanwhile.", []string{"strained", "lag_ms"}},
	{"upstream", "The belief about an upstream changed: appeared, leaving, gone, held_after_outage or unreadable, with the fields at fault.", []string{"id", "change", "revision", "source", "error"}},
	{"upstream_ended", "An answer broke off and its upstream takes no connections any more. Ran_ms is how long after it was sent; content is the same for all requests that ask the same.", []string{"request", "content", "upstream", "address", "ran_ms"}},
	{"upstream_leaving", "An answer of an upstream said that it leaves.", []string{"request", "upstream", "address"}},
	{"upstream_pauses", "An upstream turned a request away, and wants none from this entry for a time.", []string{"request", "upstream", "address", "pause_ms"}},
	{"upstreams_unreadable", "More entries of upstreams could not be read than are logged one by one.", []string{"count", "logged", "source"}},
	{"wait", "A prompt waits at this entry for engines that have less to do, or that it would harm less. Expected_ms is when its first event would have come, had it been placed at once.", []string{"request", "service", "reason", "expected_ms", "patience_ms"}},
	{"woke", "This process or its instance stood still; what it believed counts as unconfirmed.", []string{"paused_ms"}},
	{"yield", "A long prompt gives its place up, since another entry placed one at some of the same engines at the same moment. It gets another, or waits.", []string{"request", "service", "upstream", "helpers", "expected_ms"}},
}
