package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/matcher"
	"github.com/sapphireramp/sapphireramp/splitter"
)

// readSize is how much of a stream is read at once; an event is under 1 KB.
const readSize = 8 << 10

// errPartial is a stream that ends within an event.
var errPartial = errors.New("the stream ends in the middle of an event")

// errEmpty is a stream without an event.
var errEmpty = errors.New("the stream ends without an event")

// stream serves a request that is answered by events. Where the route allows,
// a stream that breaks goes on at another engine within the same answer.
func (f *Forwarder) stream(x *exchange) *failure {
	events := splitter.New(x.call.LastEventID)
	unsent := 0
	for {
		p, fail := f.place(x, dispatcher.Demand{PromptTokens: x.call.PromptTokens, AnswerTokens: expectedAnswer(x)})
		if fail != nil && x.pending > 0 {
			return unknown(reasonFailed, fail.cause)
		}
		if fail != nil {
			return fail
		}
		a := f.send(x, p, events.LastID())
		if a.verdict == verdictAnswered && a.response.StatusCode >= http.StatusMultipleChoices && !x.begun {
			fail := f.pass(x, a)
			f.close(x, a)
			return fail
		}
		if a.verdict == verdictAnswered {
			f.relay(x, a, events)
		}
		if a.verdict == verdictAnswered {
			f.close(x, a)
			return nil
		}
		repeat := f.mayRepeat(x, a, unsent)
		if !repeat && a.verdict == verdictFailed && !x.begun {
			fail := f.pass(x, a)
			f.close(x, a)
			return fail
		}
		f.close(x, a)
		if !repeat && x.begun {
			return unknown(reasonBroken, a.err)
		}
		if !repeat {
			return ended(x, a)
		}
		if a.verdict == verdictUnsent {
			unsent++
		}
		x.alone = x.alone || failedAsGroup(p, a)
		avoidFailed(x, a)
		events.DiscardPartial()
	}
}

// failedAsGroup reports whether a group of engines has failed a prompt that one of them
// could have served alone. One that needs the memory of several is tried with others.
func failedAsGroup(p *dispatcher.Placement, a *attempt) bool {
	return len(p.Helpers) > 0 && len(p.HelperMemoryTokens) == 0 && a.verdict != verdictUnsent && !a.lost()
}

// expectedAnswer is how many tokens the answer is expected to have.
func expectedAnswer(x *exchange) int {
	if x.call.AnswerTokensHint > 0 {
		return min(x.call.AnswerTokensHint, x.call.MaxAnswerTokens)
	}
	return x.call.MaxAnswerTokens
}

// firstEventPatience is how long the caller still waits for an event.
func firstEventPatience(x *exchange) time.Duration {
	return max(time.Millisecond, min(matcher.AbandonAfter(x.route.FirstByteTarget, x.route.GapTarget)-waited(x), time.Until(x.deadline)))
}

// waited is how long the caller has waited for its first event or the next.
func waited(x *exchange) time.Duration {
	if x.begun {
		return time.Since(x.eventAt)
	}
	return time.Since(x.arrived)
}

// relay passes the events of an attempt on, and judges how the stream ended.
func (f *Forwarder) relay(x *exchange, a *attempt, events *splitter.Splitter) {
	if a.response.StatusCode >= http.StatusMultipleChoices {
		a.verdict, a.err = verdictFailed, fmt.Errorf("status %d", a.response.StatusCode)
		return
	}
	buffer := make([]byte, readSize)
	any := false
	for {
		n, err := a.response.Body.Read(buffer)
		if n > 0 {
			a.watchdog.hear()
		}
		whole, gap := events.Feed(buffer[:n])
		for _, e := range whole {
			if any {
				a.placement.EventSeen(time.Now())
			} else {
				a.placement.FirstByteSeen(time.Now())
				a.group.begin()
				any = true
			}
			if a.event(time.Now()) {
				f.quarantine.RecordSuccess(time.Now(), x.content)
			}
			if fail := f.passEvent(x, a, e); fail != nil {
				a.verdict, a.err = verdictBroken, fail
				return
			}
		}
		if len(whole) > 0 {
			_ = http.NewResponseController(x.writer).Flush()
		}
		if err == nil {
			err = gap
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && gap == nil && events.HasPartial():
			a.verdict, a.err = verdictBroken, errPartial
			return
		case errors.Is(err, io.EOF) && gap == nil && !any && !x.begun:
			a.verdict, a.err = verdictBroken, errEmpty
			return
		case errors.Is(err, io.EOF) && gap == nil:
			return
		default:
			a.breakOff(a.response.Request.Context(), fmt.Errorf("read stream: %w", causeOf(a.response.Request.Context(), err)))
			a.cut = a.cut && gap == nil
			return
		}
	}
}

// passEvent writes one event to the caller, after the header of the first
// upstream that had one.
func (f *Forwarder) passEvent(x *exchange, a *attempt, e splitter.Event) error {
	now := time.Now()
	if !x.begun {
		copyHeaders(x.writer.Header(), a.response.Header)
		x.writer.Header().Del("Content-Length")
		x.begin(a.response.StatusCode)
	}
	x.longestPause = max(x.longestPause, now.Sub(x.eventAt))
	x.eventAt = now
	x.events++
	if _, err := x.writer.Write(e.Raw); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// pass delivers an upstream's own failure as it is.
func (f *Forwarder) pass(x *exchange, a *attempt) *failure {
	answer := f.readPlain(x, a)
	if answer == nil {
		return ended(x, a)
	}
	return f.deliver(x, a, answer)
}
