package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/meter"
)

// A counter that first appears with the value 1 has no increase in a rate computed from the metrics.
// Guards against the first request or retry after a restart missing from rates.
func TestCountersStartAtZero(t *testing.T) {
	is := is.New(t)
	m := meter.New()
	defer func() { _ = m.Close() }()
	newMetrics(m.Scope)
	page := httptest.NewRecorder()
	m.Handler.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{`sapphireramp_requests{outcome="answered"} 0`, "sapphireramp_retries 0", "sapphireramp_retries_denied 0"} {
		is.True(strings.Contains(page.Body.String(), line))
	}
}
