//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

// moveTime is the time from the change of the settings files for which the store still answers at its old address: more
// than an entry takes to read a changed file.
const moveTime = 6 * time.Second

// playMove changes the settings files: the platform's store is at another address. It answers at both until all entries
// had time to read the files, and is never down. Then a new version removes an API key and moves a route.
func playMove(r *record) int {
	d, err := newDeployment(r, zeekantBounds)
	if err != nil {
		r.add("could not run: %v", err)
		return notRun
	}
	defer d.close()
	if err = d.addPlainEngines(); err == nil {
		d.putRoutes("app-a", 8, apiKey, revokedKey)
		err = d.addEntries(3)
	}
	stop := d.keepRegistered()
	defer stop()
	if err == nil {
		err = d.awaitReady(20 * time.Second)
	}
	if err == nil {
		_, err = d.awaitAddresses(10 * time.Second)
	}
	if err == nil {
		err = d.moveStore()
	}
	if err != nil {
		r.add("could not run: %v", err)
		return notRun
	}
	for _, e := range d.entries {
		if isRun, service := d.ask("before-at-"+e.name, revokedKey, e); !isRun || service != "app-a" {
			r.add("could not run: the request before the change was run: %t, by %q", isRun, service)
			return notRun
		}
	}
	d.putRoutes("app-b", 8, apiKey)
	acknowledgedAt := time.Now()
	r.add("version %d is acknowledged: %s is removed, /move/ goes to app-b", d.version, revokedKey)
	time.Sleep(d.bounds.configDeadline)
	return d.judgeChange(acknowledgedAt)
}

// moveStore changes the settings files, sends SIGHUP to two of three entries, and returns once the old address of the
// store has been closed for contact-ms. Without the disruption it writes the files with the same address.
func (d *deployment) moveStore() error {
	time.Sleep(d.bounds.contact)
	old := d.storeAt
	if isTroubled() {
		d.storeAt = d.address(0, 2, d.ports.store)
	}
	if d.storeAt != old {
		if err := d.serve(d.storeAt, d.store); err != nil {
			return err
		}
	}
	for i, e := range d.entries {
		if _, err := e.writeSettings(false); err != nil {
			return err
		}
		if i < 2 {
			e.signal(syscall.SIGHUP)
		}
		d.record.add("settings of %s changed: platform.address=%s, SIGHUP: %t", e.name, d.storeAt, i < 2)
	}
	time.Sleep(moveTime)
	if d.storeAt != old {
		if err := d.servers[0].Close(); err != nil {
			return fmt.Errorf("close the old address: %w", err)
		}
		d.record.add("the store answers at %s only", d.storeAt)
	}
	time.Sleep(d.bounds.contact)
	if d.storeAt == old {
		return nil
	}
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + d.storeAt.String() + "/kv-range?prefix=op/")
	if err != nil {
		return fmt.Errorf("store at its new address: %w", err)
	}
	_ = response.Body.Close()
	d.record.add("the store at %s answers %d", d.storeAt, response.StatusCode)
	if c, err := net.DialTimeout("tcp", old.String(), time.Second); err == nil {
		_ = c.Close()
		return fmt.Errorf("the old address %s still accepts connections", old)
	}
	return nil
}
