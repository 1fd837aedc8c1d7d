package api

// QuarantineNews is an update that entries gossip about requests that crash the upstreams that run
// them. Such requests are identified by a fingerprint of their content.
type QuarantineNews struct {
	// Strikes is recent crashes of upstreams.
	Strikes []StrikeNews
	// Answers is fingerprints whose requests an upstream completed; Age is the time since then.
	Answers []ContentNews
	// Quarantined is all fingerprints that the sender has quarantined; Age is the time since the
	// start of each quarantine. It is empty unless the update answers one with another Digest.
	Quarantined []ContentNews
	// Digest is a hash of the fingerprints that the sender has quarantined.
	Digest uint32
}

// StrikeNews is a crash: the exit of an upstream's incarnation while it ran requests with a
// fingerprint.
type StrikeNews struct {
	// Content is the fingerprint, Run a hash that identifies the incarnation.
	Content uint64
	Run     uint32
	// Age is the time since the exit in milliseconds. Ran and Longest are for how many milliseconds
	// the incarnation had run the last and the first of its unanswered requests with the
	// fingerprint.
	Age, Ran, Longest uint32
}

// ContentNews is a fingerprint and the time since an event that concerns it.
type ContentNews struct {
	// Content is the fingerprint.
	Content uint64
	// Age is the time since the event in milliseconds.
	Age uint32
}
