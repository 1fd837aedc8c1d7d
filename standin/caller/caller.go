// Package caller is a stand-in for the callers of the users' platform: it asks
// the directory for addresses, keeps the answer for its life, connects to one
// of them, and holds every answer against the product's promises.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sapphireramp/sapphireramp/standin/worker"
)

const (
	// addressLife is how long an answer of the directory is kept.
	addressLife = time.Second
	// directoryTime is how long one entry's directory is waited for.
	directoryTime = time.Second
	// idleConnections are kept to each entry.
	idleConnections = 4
	// usualUsage is a prompt of 2,000 tokens with an answer of up to 200.
	usualUsage = "2000,200"
)

// ErrNoAddress says that no directory named an address.
var ErrNoAddress = errors.New("no directory named an address")

// Caller is one caller. It is not safe for concurrent use.
type Caller struct {
	// Directories are where entries say which addresses to use.
	Directories []netip.AddrPort
	// AddressTTL is how long an answer of the directory is kept.
	AddressTTL time.Duration
	// TokenUsage is what prompts say of their token counts.
	TokenUsage string
	// TokenUsageOf, where not nil, takes the place of Usage: the most tokens that the answer
	// to a request may have, and the caller's estimate.
	TokenUsageOf func(id string) (most, hint int)
	// KeepsAddress callers ask one address until a request to it fails, also where newer
	// answers of the directory don't name it any more.
	KeepsAddress bool
	// Body returns what a request sends; nil for nothing. BodyOf, where not nil, takes its place.
	Body      func() io.Reader
	BodyOf    func(id string) string
	client    *http.Client
	random    *rand.Rand
	addresses []netip.AddrPort
	asked     time.Time
	// fixed is true where the directory is not asked.
	fixed bool
	// kept is the address that a caller who keeps one asks; invalid for none.
	kept netip.AddrPort
}

// New returns a caller that connects by dial.
func New(directories []netip.AddrPort, seed uint64, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Caller {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleConnections}
	return &Caller{
		Directories: directories, AddressTTL: addressLife, TokenUsage: usualUsage,
		random: rand.New(rand.NewPCG(seed, 1)), client: &http.Client{Transport: transport},
	}
}

// MixedBody is what a request sends of callers of whom some ask for the same and most for
// something else each time.
func MixedBody(id string) string {
	if len(id)%4 == 0 {
		return "popular"
	}
	return id
}

// SetAddressReuse gives callers, numbered from 0, in turn each habit that keeps an address
// longer than most do: an answer of the directory for three of its lives, one address
// until a request to it fails, both or neither.
func (c *Caller) SetAddressReuse(n int) {
	if n%2 == 1 {
		c.AddressTTL = 3 * addressLife
	}
	c.KeepsAddress = n%4 >= 2
}

// SetFixedAddress has the caller use an address whatever the directory says.
func (c *Caller) SetFixedAddress(address netip.AddrPort) {
	c.addresses, c.fixed = []netip.AddrPort{address}, true
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Result is how one request ended.
type Result struct {
	ID, Path string
	// Entry is the address that was asked.
	Entry  netip.AddrPort
	Status int
	Body   string
	// HeaderSent is true once the header of the request was written to a connection.
	HeaderSent bool
	// TimeLimit is the time that the request has: as long as its caller waits, or its
	// route allows.
	TimeLimit time.Duration
	// RetryAfter is when a refused caller is asked to come back; empty where nothing is said.
	RetryAfter string
	// Upstream is the one whose answer was passed on, Leaving whether that answer said that it
	// leaves.
	Upstream        string
	UpstreamLeaving bool
	// Err is a connection that ended before a whole answer.
	Err       error
	StartedAt time.Time
	Duration  time.Duration
}

// EndedAt is when the request ended.
func (r Result) EndedAt() time.Time { return r.StartedAt.Add(r.Duration) }

// IsServed reports whether a whole answer came.
func (r Result) IsServed() bool { return r.Err == nil && r.Status == http.StatusOK }

// resolve asks up to three entries for addresses.
func (c *Caller) resolve() {
	if c.fixed || time.Since(c.asked) < c.AddressTTL {
		return
	}
	order := c.random.Perm(len(c.Directories))
	for _, i := range order[:min(3, len(order))] {
		if list, err := c.directory(c.Directories[i]); err == nil && len(list) > 0 {
			c.addresses, c.asked = list, time.Now()
			return
		}
	}
}

func (c *Caller) directory(address netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(context.Background(), directoryTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/resolve?name=h&region=r&zone=dc-0", nil)
	if err != nil {
		return nil, fmt.Errorf("build question: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask directory: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []netip.AddrPort `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	return answer.Addresses, nil
}

// Do sends one request; patience is how long it waits.
func (c *Caller) Do(path, id, key string, patience time.Duration) Result {
	c.resolve()
	r := Result{ID: id, Path: path, StartedAt: time.Now(), TimeLimit: patience}
	if len(c.addresses) == 0 {
		r.Err = ErrNoAddress
		return r
	}
	r.Entry = c.choose()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	r.Err = c.send(ctx, &r, key, patience)
	r.Duration, r.HeaderSent = time.Since(r.StartedAt), sent.Load()
	if r.Err != nil {
		c.kept = netip.AddrPort{}
	}
	return r
}

// choose picks an address, or the one that the caller keeps.
func (c *Caller) choose() netip.AddrPort {
	if c.kept.IsValid() {
		return c.kept
	}
	a := c.addresses[c.random.IntN(len(c.addresses))]
	if c.KeepsAddress {
		c.kept = a
	}
	return a
}

// send sends the request of a result and fills in its answer.
func (c *Caller) send(ctx context.Context, r *Result, key string, patience time.Duration) error {
	method := http.MethodPost
	if strings.HasPrefix(r.Path, "/safe/") {
		method = http.MethodGet
	}
	var body io.Reader
	if c.Body != nil {
		body = c.Body()
	}
	if c.BodyOf != nil && method == http.MethodPost {
		body = strings.NewReader(c.BodyOf(r.ID))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+r.Entry.String()+r.Path, body)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Host = "h"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Attempt-Id", r.ID)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	if !plain(r.Path) {
		c.sayUsage(request.Header, r.ID)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	r.Upstream, r.UpstreamLeaving = response.Header.Get("X-Engine-Stamp"), response.Header.Get("Server-Leaving") != ""
	answer, err := io.ReadAll(response.Body)
	r.Status, r.Body, r.RetryAfter = response.StatusCode, string(answer), response.Header.Get("Retry-After")
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}

func (c *Caller) sayUsage(h http.Header, id string) {
	h.Set("X-Token-Usage", c.TokenUsage)
	if c.TokenUsageOf != nil {
		most, hint := c.TokenUsageOf(id)
		h.Set("X-Token-Usage", fmt.Sprintf("2000,%d", most))
		h.Set("X-Length-Hint", fmt.Sprint(hint))
	}
}

func plain(path string) bool {
	return strings.HasPrefix(path, "/once/") || strings.HasPrefix(path, "/safe/")
}

// repeatable reports whether requests of a path may run more than once.
func repeatable(path string) bool {
	return strings.HasPrefix(path, "/safe/") || strings.HasPrefix(path, "/stream/")
}

// Violations says which promises a result breaks, given how often the request ran
// and how many events a stream has.
func (r Result) Violations(ran, events int) []string {
	var out []string
	if !repeatable(r.Path) && ran > 1 {
		out = append(out, fmt.Sprintf("%s %s ran %d times", r.Path, r.ID, ran))
	}
	if ran > 2 {
		out = append(out, fmt.Sprintf("%s %s ran at %d upstreams of two allowed", r.Path, r.ID, ran))
	}
	if r.Err == nil && r.Status == http.StatusServiceUnavailable && !repeatable(r.Path) && ran > 0 {
		out = append(out, fmt.Sprintf("%s %s was called not run and ran", r.Path, r.ID))
	}
	if r.IsServed() && r.Body != whole(r, events) {
		out = append(out, fmt.Sprintf("%s %s: answer %q is not the whole one", r.Path, r.ID, r.Body))
	}
	return out
}

func whole(r Result, events int) string {
	if plain(r.Path) {
		return worker.Body(r.ID)
	}
	text := ""
	for n := 1; n <= events; n++ {
		text += worker.Event(r.ID, n)
	}
	return text
}
