package api

// PartNews is an update, sent with heartbeats, about parts of prompts that crash the upstreams that begin to answer
// them. Ages are in milliseconds.
type PartNews struct {
	// Crashes lists recent crashes, Survivals parts with a crash that an upstream has answered since; at most 24
	// each.
	Crashes   []PartCrash
	Survivals []PartSurvival
	// Quarantined lists all quarantines of the sender. It is empty unless this update is the response to one with
	// another Digest.
	Quarantined []PartQuarantine
	// Digest is a hash of the quarantines of the sender, by which two entries detect that theirs differ.
	Digest uint32
}

// PromptPart identifies a part of the prompts of an organisation.
type PromptPart struct {
	// ID is a hash of the ID that callers give the part. Organisation is a hash of the organisation; 0 stands for
	// the prompts of all.
	ID           uint64
	Organisation uint32
}

// PartCrash is the exit of an upstream's incarnation while it ran requests with a part.
type PartCrash struct {
	// ID and Organisation are those of the part, as in PromptPart.
	ID           uint64
	Organisation uint32
	// Run is the hash of the incarnation.
	Run uint32
	// Tried is true if one of the requests was tried alone, as it was suspected.
	Tried bool
	// Age is the time since the exit, Ran the time from when the last of the requests was sent until the exit.
	Age, Ran uint32
}

// PartSurvival tells that an upstream answered a request with a part.
type PartSurvival struct {
	Part PromptPart
	// Age is the time since the upstream began to answer.
	Age uint32
}

// PartQuarantine is the refusal of requests that hold all of some parts.
type PartQuarantine struct {
	Parts []PromptPart
	// Renewals is how often it began again after a failed trial. Crashes is the number of crashes that led to it.
	Renewals, Crashes int
	// Age is the time since it began last, FirstCrash the time since the first crash that led to it.
	Age, FirstCrash uint32
}
