package forwarder

import (
	"context"
	"errors"
)

// ErrCutOff is the cause for which the requests end that are still in progress when their entry does.
var ErrCutOff = errors.New("the entry ends")

// cutOff is the failure of a request that the end of its entry cut off; nil where that is not
// why it ended.
func (x *exchange) cutOff(caller context.Context, cause error) *failure {
	if !errors.Is(context.Cause(caller), ErrCutOff) {
		return nil
	}
	if x.pending == 0 && !x.begun {
		return notRun(reasonStopping, soonRetry, ErrCutOff)
	}
	return unknown(reasonCutOff, cause)
}
