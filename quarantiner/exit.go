package quarantiner

import "time"

// Exit is the exit of an upstream incarnation at a time, of which entries report slightly different ones.
type Exit struct {
	Incarnation IncarnationHash
	At          time.Time
}

// IsSame reports whether two exits are probably the same.
func (e Exit) IsSame(o Exit) bool {
	return e.Incarnation == o.Incarnation && e.At.Sub(o.At).Abs() <= coincidenceWindow
}

// Explanation is a possible cause of an exit: a fingerprint, or a part of prompts, that the incarnation ran.
type Explanation struct {
	Exit
	// Crashes is the number of crashes of the cause. IsCertain is true if it is quarantined.
	Crashes   int
	IsCertain bool
}

// Explanations returns, for each exit of an incarnation that ran a fingerprint with at least minCrashes or that is
// quarantined, that fingerprint's explanation.
func (q *Quarantiner) Explanations() []Explanation {
	q.lock.Lock()
	defer q.lock.Unlock()
	var explanations []Explanation
	for fp, p := range q.suspects {
		_, isCertain := q.quarantined[fp]
		if len(p.crashes) < minCrashes && !isCertain {
			continue
		}
		for _, k := range p.crashes {
			explanations = append(explanations, Explanation{Exit: Exit{Incarnation: k.Incarnation, At: k.Ended}, Crashes: len(p.crashes), IsCertain: isCertain})
		}
	}
	return explanations
}

// SetOtherExplainedExits sets the exits with another known cause than the content of requests. Evaluate leaves them
// out. It keeps the slice.
func (q *Quarantiner) SetOtherExplainedExits(exits []Exit) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.otherExplained = exits
}
