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

// reportPeriod is the interval at which collected values are passed to the
// handler. The handler serves values that are at most this old.
const reportPeriod = time.Second

// Meter holds the root scope of a process's metrics and the handler that serves
// them.
type Meter struct {
	// Scope is the root scope. Metrics are registered in it or in its
	// subscopes.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
	// closer stops passing values from Scope to Handler.
	closer io.Closer
}

// New returns a meter whose metric names start with "sapphireramp". Close must
// be called when the meter is no longer used.
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

// Close passes the last values to the handler and stops the meter.
func (m *Meter) Close() error { return m.closer.Close() }
