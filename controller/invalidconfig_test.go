package controller_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against a configuration with an invalid priority that takes effect, that is logged at each read of the store,
// and that leaves an entry which starts afterwards without a configuration while others have one.
func TestInvalidConfigurationIsLoggedOnceAndNotUsed(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		core, logs := observer.New(zapcore.ErrorLevel)
		f.log = zap.New(core)
		for i, e := range f.entries {
			e.end()
			f.net.KillHost(e.host)
			f.entries[i] = f.startEntry(i)
			time.Sleep(2 * time.Second)
		}
		f.eventually(time.Second, "version 1", hasVersion(1))
		f.store.Put("op/config", json.RawMessage(`{"version":2,"routes":[{"name":"r","kind":"idempotent","prefix":"/","service":"app","priority":-1}],"services":[{"name":"app"}]}`))
		for range 5 {
			time.Sleep(time.Second)
			f.store.Compact() // makes the readers read everything
		}
		f.eventually(0, "version 1 kept", hasVersion(1))
		f.entries = append(f.entries, f.startEntry(3))
		f.eventually(2*time.Second, "version 1 at a new entry", hasVersion(1))
		time.Sleep(5 * time.Second)
		lines := logs.FilterMessage("configuration_unreadable").All()
		if len(lines) == 0 || len(lines) > len(f.entries) {
			t.Errorf("%d lines for one configuration at %d entries", len(lines), len(f.entries))
		}
		for _, line := range lines {
			if text, _ := line.ContextMap()["error"].(string); !strings.Contains(text, "route r priority -1") {
				t.Errorf("the line does not name the field: %q", text)
			}
		}
		f.putVersion(3)
		f.eventually(time.Second, "version 3", hasVersion(3))
	})
}
