//go:build review

package main

import (
	"context"
	"net/http/httptrace"
)

// withReuse returns a context with which a request records whether it was sent on a kept connection.
func withReuse(ctx context.Context, isReused *bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { *isReused = info.Reused }})
}
