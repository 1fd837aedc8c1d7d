//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// revokedKey is the API key that the last version removes.
const revokedKey = "key-to-be-revoked"

// addPlainEngines starts two engines of each of two plain services.
func (d *deployment) addPlainEngines() error {
	for i, service := range []string{"app-a", "app-a", "app-b", "app-b"} {
		e := newEngine(d.record, fmt.Sprintf("i-%s-%d", service, i+1), service, 6)
		e.firstEvent = 15 * time.Millisecond
		at := d.address(1, byte(i+1), d.ports.engine)
		if err := d.serve(at, e); err != nil {
			return err
		}
		d.register(e.id, service, at, 6, time.Now())
	}
	return nil
}

// judgeChange sends requests later than config-deadline-ms after the acknowledgement of the last version, and reports whether
// any is handled as only an older version allows.
func (d *deployment) judgeChange(acknowledgedAt time.Time) int {
	byKey, byService, last := 0, 0, time.Duration(0)
	for n := 0; time.Since(acknowledgedAt) < d.bounds.configDeadline+10*time.Second; n++ {
		e := d.entries[n%len(d.entries)]
		sentAt := time.Since(acknowledgedAt)
		if isRun, _ := d.ask(fmt.Sprintf("revoked-%d", n), revokedKey, e); isRun {
			byKey, last = byKey+1, sentAt
		}
		if isRun, service := d.ask(fmt.Sprintf("moved-%d", n), apiKey, e); isRun && service != "app-b" {
			byService, last = byService+1, sentAt
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.record.add("run later than %s after the acknowledgement: %d with the removed key, %d by the old service; the last was sent %s after it", d.bounds.configDeadline, byKey, byService, last.Round(time.Millisecond))
	if byKey+byService > 0 {
		d.record.add("CONFIG is broken")
		return broken
	}
	return held
}

// ask sends a request to an entry, and returns whether an engine has run it, and the service of that engine.
func (d *deployment) ask(id, key string, e *entry) (isRun bool, service string) {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.at(d.ports.front)+"/move/"+id, http.NoBody)
	if err != nil {
		return false, ""
	}
	request.Host = hostName
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.record.add("%s sent to %s: %v", id, e.name, err)
		return false, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	stamp := response.Header.Get("X-Engine-Stamp")
	d.record.add("%s with %s sent to %s: answered %d by %q: %.60q", id, key, e.name, response.StatusCode, stamp, body)
	if len(stamp) < len("i-app-a") {
		return false, ""
	}
	return true, stamp[len("i-"):len("i-app-a")]
}

// putRoutes writes a configuration whose route /move/ goes to a service, with a number of further routes.
func (d *deployment) putRoutes(service string, further int, keys ...string) {
	routes := []any{plainRoute("move", service)}
	for n := range further {
		routes = append(routes, plainRoute(fmt.Sprintf("idle%05d", n), "app-a"))
	}
	services := []any{}
	for _, name := range []string{"app-a", "app-b"} {
		services = append(services, map[string]any{"name": name, "health-path": "/health", "max-conns": 100, "protocol": "h1", "tls": false})
	}
	limits := map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
	d.configure(routes, services, limits, keys...)
}

func plainRoute(name, service string) any {
	return map[string]any{
		"name": "r-" + name, "host": hostName, "prefix": "/" + name + "/", "kind": "idempotent", "timeout-ms": 1500, "target-latency-ms": 100, "priority": 2,
		"service": service, "max-attempts": 2, "public": false, "sticky": false,
	}
}

// keepRegistered makes the engines write their entries again each heartbeat interval, until the function returned is called.
func (d *deployment) keepRegistered() func() {
	stop := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			d.store.touch("servers/")
		}
	})
	return func() { close(stop); writer.Wait() }
}
