package api

// QuarantineNews is what entries tell each other of requests that crash the upstreams that
// run them.
type QuarantineNews struct {
	// Strikes are ends of upstreams, Answers are contents that one answered.
	Strikes []StrikeNews
	Answers []ContentNews
	// Quarantined are all contents that the sender refuses, told to one whose Digest is another.
	Quarantined []ContentNews
	// Digest is a hash of the contents that the sender refuses.
	Digest uint32
}

// StrikeNews is the end of an upstream's run while it worked on a content.
type StrikeNews struct {
	// Content is a hash of what the request asks for, Run one of the name of the run.
	Content uint64
	Run     uint32
	// Age is how many milliseconds ago the run ended, Ran and Longest how many it had worked on the
	// last and on the first request for the content.
	Age, Ran, Longest uint32
}

// ContentNews says for how many milliseconds something has been so of a content.
type ContentNews struct {
	Content uint64
	Age     uint32
}
