package forwarder

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/quarantiner"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

// endedWait is how long after a broken answer its upstream is asked whether it still runs:
// a process that ends closes its connections and its listener one after the other.
const endedWait = 50 * time.Millisecond

// contentOf names what a request asks for: of one organisation, to one path, with one body.
func contentOf(x *exchange) quarantiner.Content {
	caller := x.organisation
	if caller == "" {
		caller = x.call.Key
	}
	r := x.request
	return quarantiner.ContentOf([]byte(r.Method), []byte(r.Host), []byte(r.URL.RequestURI()), []byte(caller), x.body)
}

// breakOff notes that the answer of an attempt broke off.
func (a *attempt) breakOff(ctx context.Context, err error) {
	a.verdict, a.err = verdictBroken, err
	a.cut = context.Cause(ctx) == nil
}

// noteEnd finds out whether an attempt broke off because its upstream has ended. The
// request does not wait for that.
func (f *Forwarder) noteEnd(x *exchange, a *attempt) {
	if !a.cut && !a.lost() {
		return
	}
	first, ran := a.placement.First, time.Since(a.sentAt)
	go func() {
		if !a.lost() && !f.hasEnded(first) {
			return
		}
		f.log.Warn("upstream_ended", zap.String("request", x.call.ID), zap.Stringer("content", x.content), zap.String("upstream", first.ID),
			zap.Stringer("address", first.Address), zap.Duration("ran_ms", ran))
	}()
}

// hasEnded reports whether nobody listens at an upstream's address any more. Attempts that
// broke off at the same moment share one question.
func (f *Forwarder) hasEnded(i dispatcher.Instance) bool {
	ended, _, _ := f.questions.Do(i.Address.String()+" "+i.ID, func() (any, error) {
		sleeper.Sleep(context.Background(), endedWait)
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		connection, err := f.dial(ctx, "tcp", i.Address.String())
		if err == nil {
			_ = connection.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED), nil
	})
	return ended.(bool)
}
