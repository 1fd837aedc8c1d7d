// Package meter collects the product's metrics and serves them in the Prometheus
// text format.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is the interval at which collected metrics are passed on to the
// handler that serves them.
const reportPeriod = time.Second

// Meter holds the root scope of a process's metrics and the handler that serves
// them.
type Meter struct {
	// Scope is the root scope: metrics are registered on it or on its subscopes.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
	// closer stops the scope.
	closer io.Closer
}

// New returns a meter. The names of its metrics start with "sapphireramp". It
// must be closed.
func New() *Meter {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "sapphireramp",
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
		CachedReporter:         reporter,
	}, reportPeriod)
	return &Meter{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close passes the remaining metrics on to the handler and stops the meter.
func (m *Meter) Close() error { return m.closer.Close() }
