package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sapphireramp/sapphireramp/meter"
)

// A restarted entry that has had no request yet exports its request count as 0.
func TestRequestCounterStartsAtZero(t *testing.T) {
	is := is.New(t)
	m := meter.New()
	defer func() { _ = m.Close() }()
	newMetrics(m.Scope)
	page := httptest.NewRecorder()
	m.Handler.ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.Contains(page.Body.String(), `sapphireramp_requests{outcome="answered"} 0`))
}
