package server

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/tunneler"
)

// relays returns the other entries through which upstreams can be reached.
func (s *Server) relays() []tunneler.Relay { return s.current.Load().relays }

// onCutOff drops what failures since lastContact have shown of upstreams, as the links of this entry were at
// fault, and closes idle connections to them.
func (s *Server) onCutOff(lastContact time.Time) {
	s.callDispatcher.ForgetFailures()
	s.quarantine.ForgetInterruptions(lastContact)
	s.isolator.ForgetInterruptions(lastContact)
	s.closeIdleConnections()
}

// closeIdleConnections closes the idle connections to upstreams. It is called when the way to reach these
// changes.
func (s *Server) closeIdleConnections() {
	for _, c := range []*http.Client{s.engineClient, s.trafficClient} {
		c.CloseIdleConnections()
	}
}

// isLinkAtFault reports whether the last attempt of the request, which got no complete answer, may have failed
// because of the links of this entry or of a relay, and not because of the upstream.
func (x *exchange) isLinkAtFault() bool {
	if tunnel, ok := x.connection.(*tunneler.Tunnel); ok {
		return tunnel.IsLost()
	}
	return x.server.tunneler.IsCutOff()
}

// traceConnection returns a context for an attempt that sets x.connection to the connection on which the attempt
// is sent. It sets x.connection to nil first.
func (x *exchange) traceConnection(ctx context.Context) context.Context {
	x.connection = nil
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { x.connection = connector.Unwrap(info.Conn) }}
	return httptrace.WithClientTrace(tunneler.WithRequestID(ctx, x.id), trace)
}

// checkUnavailable returns a failure if no entry reaches upstreams and no attempt of the request may have
// started, and nil otherwise.
func (x *exchange) checkUnavailable() *failure {
	if x.unresolvedAttempts > 0 || x.answerBegun || !x.server.tunneler.IsUnavailable() {
		return nil
	}
	f := newFailure(api.CodeNoUpstream, "no entry reaches upstreams")
	f.retryAfter = x.server.tunneler.RetryAfter()
	return f
}
