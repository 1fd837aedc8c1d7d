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
	// addressTTL is how long an answer of the directory is kept.
	addressTTL = time.Second
	// directoryTimeout is how long one entry's directory is waited for.
	directoryTimeout = time.Second
	// maxIdleConnections are kept to each entry.
	maxIdleConnections = 4
	// defaultTokenUsage is a prompt of 2,000 tokens with an answer of up to 200.
	defaultTokenUsage = "2000,200"
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
	Body       func() io.Reader
	BodyOf     func(id string) string
	client     *http.Client
	random     *rand.Rand
	addresses  []netip.AddrPort
	resolvedAt time.Time
	// hasFixedAddress is true where the directory is not asked.
	hasFixedAddress bool
	// keptAddress is the address that a caller who keeps one asks; invalid for none.
	keptAddress netip.AddrPort
}

// New returns a caller that connects by dial.
func New(directories []netip.AddrPort, seed uint64, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Caller {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConnections}
	return &Caller{
		Directories: directories, AddressTTL: addressTTL, TokenUsage: defaultTokenUsage,
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
		c.AddressTTL = 3 * addressTTL
	}
	c.KeepsAddress = n%4 >= 2
}

// SetFixedAddress has the caller use an address whatever the directory says.
func (c *Caller) SetFixedAddress(address netip.AddrPort) {
	c.addresses, c.hasFixedAddress = []netip.AddrPort{address}, true
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
	if c.hasFixedAddress || time.Since(c.resolvedAt) < c.AddressTTL {
		return
	}
	order := c.random.Perm(len(c.Directories))
	for _, i := range order[:min(3, len(order))] {
		if list, err := c.queryDirectory(c.Directories[i]); err == nil && len(list) > 0 {
			c.addresses, c.resolvedAt = list, time.Now()
			return
		}
	}
}

func (c *Caller) queryDirectory(address netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
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
func (c *Caller) Do(path, id, apiKey string, timeout time.Duration) Result {
	c.resolve()
	r := Result{ID: id, Path: path, StartedAt: time.Now(), TimeLimit: timeout}
	if len(c.addresses) == 0 {
		r.Err = ErrNoAddress
		return r
	}
	r.Entry = c.chooseAddress()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	r.Err = c.send(ctx, &r, apiKey, timeout)
	r.Duration, r.HeaderSent = time.Since(r.StartedAt), sent.Load()
	if r.Err != nil {
		c.keptAddress = netip.AddrPort{}
	}
	return r
}

// chooseAddress picks an address, or the one that the caller keeps.
func (c *Caller) chooseAddress() netip.AddrPort {
	if c.keptAddress.IsValid() {
		return c.keptAddress
	}
	a := c.addresses[c.random.IntN(len(c.addresses))]
	if c.KeepsAddress {
		c.keptAddress = a
	}
	return a
}

// send sends the request of a result and fills in its answer.
func (c *Caller) send(ctx context.Context, r *Result, apiKey string, timeout time.Duration) error {
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
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("X-Attempt-Id", r.ID)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	if !isPlainCall(r.Path) {
		c.setUsageHeaders(request.Header, r.ID)
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

func (c *Caller) setUsageHeaders(h http.Header, id string) {
	h.Set("X-Token-Usage", c.TokenUsage)
	if c.TokenUsageOf != nil {
		most, hint := c.TokenUsageOf(id)
		h.Set("X-Token-Usage", fmt.Sprintf("2000,%d", most))
		h.Set("X-Length-Hint", fmt.Sprint(hint))
	}
}

func isPlainCall(path string) bool {
	return strings.HasPrefix(path, "/once/") || strings.HasPrefix(path, "/safe/")
}

// isRepeatable reports whether requests of a path may run more than once.
func isRepeatable(path string) bool {
	return strings.HasPrefix(path, "/safe/") || strings.HasPrefix(path, "/stream/")
}

// Violations says which promises a result breaks, given how often the request ran
// and how many events a stream has.
func (r Result) Violations(runs, events int) []string {
	var out []string
	if !isRepeatable(r.Path) && runs > 1 {
		out = append(out, fmt.Sprintf("%s %s ran %d times", r.Path, r.ID, runs))
	}
	if runs > 2 {
		out = append(out, fmt.Sprintf("%s %s ran at %d upstreams of two allowed", r.Path, r.ID, runs))
	}
	if r.Err == nil && r.Status == http.StatusServiceUnavailable && !isRepeatable(r.Path) && runs > 0 {
		out = append(out, fmt.Sprintf("%s %s was called not run and ran", r.Path, r.ID))
	}
	if r.IsServed() && r.Body != completeBody(r, events) {
		out = append(out, fmt.Sprintf("%s %s: answer %q is not the whole one", r.Path, r.ID, r.Body))
	}
	return out
}

func completeBody(r Result, events int) string {
	if isPlainCall(r.Path) {
		return worker.Body(r.ID)
	}
	text := ""
	for n := 1; n <= events; n++ {
		text += worker.Event(r.ID, n)
	}
	return text
}
