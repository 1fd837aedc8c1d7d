// Package meter makes the product's metrics and the page they are read from.
package meter

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is how often counts reach the scrape page.
const reportPeriod = time.Second

// Meter is the root of the metrics.
type Meter struct {
	Scope tally.Scope
	// Handler serves the metrics in the text format that scrapers read.
	Handler http.Handler
	closer  io.Closer
}

// New returns a meter whose metrics start with the product's name.
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

// Close reports what is left and stops.
func (m *Meter) Close() error { return m.closer.Close() }
