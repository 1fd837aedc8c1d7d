package dispatcher

import (
	"time"

	"github.com/sapphireramp/sapphireramp/predictor"
)

// request is what one request does at upstreams, one of this entry's or of a peer's.
type request struct {
	token WireID
	// prompt and answer are token counts.
	prompt, answer int
	// target and pause are those of the route; pause is 0 for plain requests.
	target, pause time.Duration
	value         float64
	// placed is when it was sent, since when its caller waits from.
	placed, since time.Time
	// left is how long after that its caller waits for the whole answer; 0 if unknown.
	left time.Duration
	// begun is true once the first event of the answer was seen.
	begun bool
	// parts are what each upstream does for it, the one that answers first.
	parts []*part
	// lost is true once one of the upstreams has started anew; onLost is then called
	// once, nil where nobody asked.
	lost   bool
	onLost func()
	// engines is how many upstreams a peer's request has, unknown those of them that
	// are not known here yet.
	engines int
	unknown []AssignmentLoad
	// heard is when a peer last told of it, and had not seen its first event.
	heard time.Time
	// toldAt is when a peer first told of it; zero for this entry's own.
	toldAt time.Time
	// expires is until when what a peer told counts.
	expires time.Time
}

// part is what one request does at one upstream.
type part struct {
	worker  *worker
	request *request
	job     predictor.Job
	// held is the memory it has there, in tokens.
	held int
	// done is when its prefill is expected to end there.
	done time.Time
}

// finish is when the last part is expected to be prefilled.
func (r *request) finish() time.Time {
	last := r.placed
	for _, p := range r.parts {
		if p.done.After(last) {
			last = p.done
		}
	}
	return last
}

// elsewhere is when the other parts of the request are expected to be prefilled.
func (p *part) elsewhere() time.Time {
	last := p.request.placed
	for _, o := range p.request.parts {
		if o != p && o.done.After(last) {
			last = o.done
		}
	}
	return last
}

// overdue is how long a first event has been late beyond what was expected.
// What a peer told late counts up to when it told.
func (p *part) overdue(now time.Time) time.Duration {
	r := p.request
	if r.begun || r.pause == 0 {
		return 0
	}
	if !r.expires.IsZero() {
		now = r.heard
	}
	return max(0, now.Sub(r.finish())-paceSlack)
}

// loss is what a request loses by what becomes of one of its parts.
func (p *part) loss(f predictor.Fate, elsewhere time.Time) float64 {
	r := p.request
	if r.pause == 0 {
		return 0
	}
	finish := f.Done
	if elsewhere.After(finish) {
		finish = elsewhere
	}
	pause := time.Duration(0)
	if p.job.Decodes {
		pause = f.Pause
	}
	unfinished := 0.0
	if p.job.Decodes {
		unfinished = over(f.End.Sub(r.placed), r.left, endFrom, endTo)
	}
	return r.value * streamLoss(finish.Sub(r.since), r.target, pause, r.pause, unfinished)
}
