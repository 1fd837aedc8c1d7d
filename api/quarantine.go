package api

// QuarantineNews is an update, sent with heartbeats, about requests that crash the upstreams that run
// them. Such requests are identified by a fingerprint: a hash of their content.
type QuarantineNews struct {
	// Strikes lists crashes that ended within the last 1.5 s, at most 32.
	Strikes []StrikeNews
	// Answers lists fingerprints with a crash and a recent success: an upstream completed a request with
	// the fingerprint, or streamed its response for at least quarantiner.MinSuccessRunTime. Age is the
	// time since that success.
	Answers []ContentNews
	// Quarantined lists all fingerprints that the sender has quarantined. Age is the time since the
	// start of the quarantine. The list is empty unless this update is the response to an update with
	// another Digest.
	Quarantined []ContentNews
	// Digest is a hash of the set of fingerprints that the sender has quarantined, by which two entries
	// detect that their sets differ.
	Digest uint32
}

// StrikeNews describes a crash: the exit of an upstream's incarnation while it ran requests with a
// fingerprint.
type StrikeNews struct {
	// Content is the fingerprint, Run the quarantiner.IncarnationHash of the incarnation.
	Content uint64
	Run     uint32
	// Age is the time since the exit. Ran and Longest are the times from when the last and the first
	// unanswered request with the fingerprint was sent to the incarnation until the exit; Longest is 0
	// if it equals Ran. All are in milliseconds.
	Age, Ran, Longest uint32
}

// ContentNews is a fingerprint and the time since its last success or the start of its quarantine.
type ContentNews struct {
	// Content is the fingerprint.
	Content uint64
	// Age is the time since the success or the start of the quarantine, in milliseconds.
	Age uint32
}
