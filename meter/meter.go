// Package meter collects the metrics of a process and serves them in the
// Prometheus text format.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is the interval at which the handler receives the collected
// metrics. The values that it serves are at most this old.
const reportPeriod = time.Second

// Meter holds the root scope of a process's metrics and the handler that serves
// these metrics.
type Meter struct {
	// Scope is the root scope: metrics are registered on it or on its subscopes.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
	// closer stops the periodic reports of the scope.
	closer io.Closer
}

// New returns a meter whose metric names start with "sapphireramp". The caller
// must close the meter.
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

// Close sends the last values to the handler and stops the meter.
func (m *Meter) Close() error { return m.closer.Close() }
