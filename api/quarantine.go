package api

// QuarantineNews is an update that entries gossip about requests that crash the upstreams that run
// them. Such requests are identified by a fingerprint of their content.
type QuarantineNews struct {
	// Strikes lists recent crashes of upstreams.
	Strikes []StrikeNews
	// Answers lists fingerprints with a request that an upstream completed; their Age is the time since
	// the completion.
	Answers []ContentNews
	// Quarantined lists all fingerprints that the sender has quarantined; their Age is the time since
	// the start of the quarantine. The list is empty unless this update responds to an update with
	// another Digest.
	Quarantined []ContentNews
	// Digest is a hash of all fingerprints that the sender has quarantined, by which two entries detect
	// that their quarantines differ.
	Digest uint32
}

// StrikeNews describes a crash: the exit of an upstream's incarnation while it ran requests with a
// fingerprint.
type StrikeNews struct {
	// Content is the fingerprint, Run a hash that identifies the incarnation.
	Content uint64
	Run     uint32
	// Age is the time since the exit. Ran and Longest are the times for which the incarnation had run
	// the last and the first of its unanswered requests with the fingerprint. All are in milliseconds.
	Age, Ran, Longest uint32
}

// ContentNews is a fingerprint and the time since an event that concerns it.
type ContentNews struct {
	// Content is the fingerprint.
	Content uint64
	// Age is the time since the event in milliseconds.
	Age uint32
}
