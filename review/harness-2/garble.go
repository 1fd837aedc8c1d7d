//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The load of the case garble, and the doses of its disruption.
const (
	garbleEngines = 3
	garbleFaulty  = 1  // of the engines; garble has share = 0.6
	garbleEvery   = 20 // of the answers of a faulty engine; garble has x = 0.05
	garbleRate    = 60 // requests a second, over both entries
	garbleQuiet   = 3 * time.Second
	garbleFor     = 5500 * time.Millisecond
)

// garbler passes connections on to an engine, and spoils one byte of some answers: the first digit of the status. Such
// bytes are no response in HTTP, whose statuses begin at 100.
type garbler struct {
	record *record
	engine netip.AddrPort
	lock   sync.Mutex
	// isActive is true while answers are spoiled, answers is the number of answers since.
	isActive bool
	answers  int
	// spoiled holds the status lines that were sent in place of others, by the ID of the request.
	spoiled map[string]string
}

func newGarbler(r *record, at, engine netip.AddrPort) (*garbler, error) {
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	g := &garbler{record: r, engine: engine, spoiled: map[string]string{}}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go g.pass(connection)
		}
	}()
	return g, nil
}

func (g *garbler) setActive(isActive bool) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.isActive, g.answers = isActive, 0
}

// pass passes one connection on, with one request and its answer.
func (g *garbler) pass(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	back, err := net.Dial("tcp", g.engine.String())
	if err != nil {
		return
	}
	defer func() { _ = back.Close() }()
	go func() { _, _ = io.Copy(back, connection) }()
	answer, err := io.ReadAll(bufio.NewReader(back)) // the engine closes the connection after its answer
	if err != nil && len(answer) == 0 {
		return
	}
	_, _ = connection.Write(g.spoil(answer))
}

// spoil returns an answer, some of them with a spoiled status.
func (g *garbler) spoil(answer []byte) []byte {
	head, _, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	if !bytes.HasPrefix(head, []byte("HTTP/1.1 200 ")) || !bytes.Contains(head, []byte("X-Engine-Stamp")) {
		return answer
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	if !g.isActive {
		return answer
	}
	if g.answers++; g.answers%garbleEvery != 0 {
		return answer
	}
	out := bytes.Clone(answer)
	out[len("HTTP/1.1 ")] = '0'
	line, _, _ := strings.Cut(string(out), "\r\n")
	id := headerIn(string(head), "X-Attempt-Id")
	g.spoiled[id] = line
	g.record.add("the answer to %s is spoiled: %q", id, line)
	return out
}

// headerIn returns the value of a header in the text of a response's header.
func headerIn(head, name string) string {
	for _, line := range strings.Split(head, "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}

// plainOutcome is what a client got in answer to a plain request.
type plainOutcome struct {
	id, stamp string
	status    int
	err       error
}

// playGarble sends plain requests while one engine hands out some answers whose status is spoiled.
func playGarble(r *record) int {
	d, err := newDeployment(r, zeekantBounds)
	if err != nil {
		r.add("could not run: %v", err)
		return notRun
	}
	defer d.close()
	faulty, engines, err := d.addGarbledEngines()
	if err == nil {
		d.putRoutes("app-a", 8, apiKey)
		err = d.addEntries(2)
	}
	stop := d.keepRegistered()
	defer stop()
	if err == nil {
		err = d.awaitReady(20 * time.Second)
	}
	if err == nil {
		_, err = d.awaitAddresses(10 * time.Second)
	}
	if err != nil {
		r.add("could not run: %v", err)
		return notRun
	}
	outcomes := d.sendPlain(faulty)
	return judgeGarble(r, engines, faulty, outcomes)
}

// addGarbledEngines starts the engines, the first ones behind garblers.
func (d *deployment) addGarbledEngines() (faulty []*garbler, engines []*engine, err error) {
	for i := range garbleEngines {
		e := newEngine(d.record, fmt.Sprintf("i-app-a-%d", i+1), "app-a", 6)
		e.firstEvent = 15 * time.Millisecond
		at := d.address(1, byte(i+1), d.ports.engine)
		if err := d.serve(at, e); err != nil {
			return nil, nil, err
		}
		if i < garbleFaulty {
			front := d.address(3, byte(i+1), d.ports.engine)
			g, err := newGarbler(d.record, front, at)
			if err != nil {
				return nil, nil, err
			}
			faulty, at = append(faulty, g), front
		}
		d.register(e.id, "app-a", at, 6, time.Now())
		engines = append(engines, e)
	}
	return faulty, engines, nil
}

// sendPlain sends the traffic of the case and returns what became of it.
func (d *deployment) sendPlain(faulty []*garbler) []plainOutcome {
	var lock sync.Mutex
	var outcomes []plainOutcome
	var clients sync.WaitGroup
	from := time.Now().Add(garbleQuiet)
	next := time.Now()
	for n := 0; time.Now().Before(from.Add(garbleFor + time.Second)); n++ {
		isActive := isTroubled() && time.Now().After(from) && time.Now().Before(from.Add(garbleFor))
		for _, g := range faulty {
			if g.isActive != isActive { // written by this goroutine only
				g.setActive(isActive)
				d.record.add("an engine spoils answers: %t", isActive)
			}
		}
		next = next.Add(time.Second / garbleRate)
		time.Sleep(time.Until(next))
		clients.Go(func() {
			o := d.askPlain(fmt.Sprintf("check-%d", n), d.entries[n%len(d.entries)])
			lock.Lock()
			outcomes = append(outcomes, o)
			lock.Unlock()
		})
	}
	clients.Wait()
	return outcomes
}

// askPlain sends one request and reads its answer.
func (d *deployment) askPlain(id string, e *entry) plainOutcome {
	o := plainOutcome{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.at(d.ports.front)+"/move/"+id, strings.NewReader("a question"))
	if err != nil {
		o.err = err
		return o
	}
	request.GetBody = nil
	request.Host = hostName
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.Itoa(1500))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		o.err = err
		d.record.add("%s sent to %s: no answer: %v", id, e.name, err)
		return o
	}
	defer func() { _ = response.Body.Close() }()
	o.status, o.stamp = response.StatusCode, response.Header.Get("X-Engine-Stamp")
	body, err := io.ReadAll(response.Body)
	o.err = err
	d.record.add("%s sent to %s: answered %d, X-Engine-Stamp %q, body %.60q, error %v", id, e.name, o.status, o.stamp, body, err)
	return o
}

// judgeGarble reports whether a failure bears an engine's stamp and another status than that engine gave.
func judgeGarble(r *record, engines []*engine, faulty []*garbler, outcomes []plainOutcome) int {
	mixed, served, spoiled := 0, 0, 0
	for _, g := range faulty {
		spoiled += len(g.spoiled)
	}
	for _, o := range outcomes {
		hasRun := false
		for _, e := range engines {
			hasRun = hasRun || e.hasRun(o.id)
		}
		if o.status == http.StatusOK && o.err == nil {
			served++
		}
		if o.status >= 300 && o.stamp != "" && hasRun {
			mixed++ // the engines give no other status than 200, and the spoiled ones
		}
	}
	r.add("%d requests, %d served; %d answers of engines were spoiled; %d failures bear an engine's stamp and a status that no engine gave", len(outcomes), served, spoiled, mixed)
	if mixed > 0 {
		r.add("MIXED is broken")
		return broken
	}
	if served*2 < len(outcomes) || isTroubled() && spoiled == 0 {
		r.add("could not run: too few requests were served or no answer was spoiled")
		return notRun
	}
	return held
}
