package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/dispatcher"
	"github.com/sapphireramp/sapphireramp/prober"
)

// Guards against load updates of senders that do not exist, which take memory without a bound.
func TestLoadSendersAreBounded(t *testing.T) {
	is := is.New(t)
	var l loadSenders
	now := time.Unix(1000, 0)
	for n := range dispatcher.CompactID(prober.MaxMembers + 100) {
		l.received(now, n)
	}
	is.Equal(len(l.lastReceived), prober.MaxMembers)
	l.markPlacing(now.Add(2*placingTime), nil, nil)
	is.Equal(len(l.lastReceived), 0)
}
