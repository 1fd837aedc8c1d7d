// Package caller emulates the callers of the users' platform. A caller gets the
// addresses of entries from the directory service, caches them for a fixed time
// and sends requests to one of them. The package also checks every response
// against the guarantees of the product, such as that a request that must not be
// repeated runs at most once.
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
	// addressTTL is the time for which a caller caches a response of the directory.
	addressTTL = time.Second
	// directoryTimeout is the time limit of a query to the directory service of
	// one entry.
	directoryTimeout = time.Second
	// maxIdleConnections is the number of idle connections kept open to each entry.
	maxIdleConnections = 4
	// defaultTokenUsage announces a prompt of 2,000 tokens and an answer of up to 200.
	defaultTokenUsage = "2000,200"
)

// ErrNoAddress is the error of a request that was not sent because no directory
// returned an address.
var ErrNoAddress = errors.New("no directory returned an address of an entry")

// Caller sends requests to entries, one at a time. It is not safe for concurrent use.
type Caller struct {
	// Directories are the addresses of the directory service at each entry, which
	// lists the addresses that callers may use.
	Directories []netip.AddrPort
	// AddressTTL is the time for which a response of the directory is cached.
	AddressTTL time.Duration
	// TokenUsage is the X-Token-Usage header of prompts: the tokens of the prompt and
	// the maximum of the answer, separated by a comma.
	TokenUsage string
	// TokenUsageOf, if not nil, replaces TokenUsage. It returns, for a request id, the
	// maximum of tokens in the answer and the caller's estimate of them.
	TokenUsageOf func(id string) (maxTokens, hint int)
	// PromptPartsOf, if not nil, returns the X-Prompt-Prefix header for a request id.
	PromptPartsOf func(id string) string
	// KeepsAddress makes the caller use one address until a request to it fails, even
	// if newer responses of the directory no longer list it.
	KeepsAddress bool
	// DataCentre is the data centre that the caller states to the directory.
	DataCentre string
	// Body returns the body of a request; nil sends none. BodyOf, if not nil, replaces
	// Body in POST requests; it returns the body for a request id.
	Body   func() io.Reader
	BodyOf func(id string) string
	client *http.Client
	random *rand.Rand
	// addresses are the entries that the directory listed at resolvedAt.
	addresses  []netip.AddrPort
	resolvedAt time.Time
	// hasFixedAddress is true if the directory is never queried.
	hasFixedAddress bool
	// keptAddress is the address in use if KeepsAddress is set; the zero value if none
	// has been chosen since the last failure.
	keptAddress netip.AddrPort
}

// New returns a caller that opens connections by dial and chooses directories and
// addresses at random from the seed.
func New(directories []netip.AddrPort, seed uint64, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Caller {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConnections}
	return &Caller{
		Directories: directories, AddressTTL: addressTTL, TokenUsage: defaultTokenUsage, DataCentre: "dc-0",
		random: rand.New(rand.NewPCG(seed, 1)), client: &http.Client{Transport: transport},
	}
}

// MixedBody returns the request body for a request id: the same text for every id
// whose length is a multiple of four, and the id itself for the others, so that
// some of the requests are identical.
func MixedBody(id string) string {
	if len(id)%4 == 0 {
		return "popular"
	}
	return id
}

// SetAddressReuse configures how long the n-th caller, counted from 0, reuses an
// address. Every second caller caches responses of the directory for three times
// the default; callers 2 and 3 of every four use one address until a request to it
// fails.
func (c *Caller) SetAddressReuse(n int) {
	if n%2 == 1 {
		c.AddressTTL = 3 * addressTTL
	}
	c.KeepsAddress = n%4 >= 2
}

// SetFixedAddress makes the caller send every request to one address without
// querying the directory.
func (c *Caller) SetFixedAddress(address netip.AddrPort) {
	c.addresses, c.hasFixedAddress = []netip.AddrPort{address}, true
}

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Result holds what the caller of one request observed: the response or the error, and
// when.
type Result struct {
	ID, Path string
	// Entry is the address that the request was sent to.
	Entry netip.AddrPort
	// Status and Body are those of the response. Status is 0 if no response began, and
	// Body is incomplete if Err is not nil.
	Status int
	Body   string
	// HeaderSent is true if the header of the request was written to a connection.
	HeaderSent bool
	// TimeLimit is the caller's timeout. In the results of a [Traffic], it is the timeout of
	// the route if that is shorter.
	TimeLimit time.Duration
	// RetryAfter is the Retry-After header of the response; empty if it has none.
	RetryAfter string
	// Upstream is the id of the upstream whose answer the entry forwarded.
	// UpstreamLeaving is true if that answer announced that the upstream is leaving.
	Upstream        string
	UpstreamLeaving bool
	// UpstreamLimited is true if that answer stated a rate limit of the upstream.
	UpstreamLimited bool
	// HeaderAt is when the header of the response arrived; zero if none did.
	HeaderAt time.Time
	// Err is not nil if no complete response arrived.
	Err       error
	StartedAt time.Time
	Duration  time.Duration
}

// EndedAt returns the time at which the request ended.
func (r Result) EndedAt() time.Time { return r.StartedAt.Add(r.Duration) }

// IsServed reports whether a complete response with status 200 arrived.
func (r Result) IsServed() bool { return r.Err == nil && r.Status == http.StatusOK }

// resolve updates the cached addresses if they are older than AddressTTL. It
// queries the directory service of up to three entries; if all queries fail, the
// old addresses stay.
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

// queryDirectory returns the addresses that the directory service at an address lists.
func (c *Caller) queryDirectory(address netip.AddrPort) ([]netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/resolve?name=h&region=r&zone="+c.DataCentre, nil)
	if err != nil {
		return nil, fmt.Errorf("build directory request: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("query directory: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []netip.AddrPort `json:"addresses"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, fmt.Errorf("decode directory response: %w", err)
	}
	return answer.Addresses, nil
}

// Do sends one request with an id, authenticated by apiKey, and waits up to timeout
// for the complete response.
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

// chooseAddress returns the kept address, or else a random one of those that the
// directory listed.
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

// send sends the request that a result describes and stores the response in it. The
// error is not nil if no complete response arrived.
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
		return fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	r.Upstream, r.UpstreamLeaving = response.Header.Get("X-Engine-Stamp"), response.Header.Get("Server-Leaving") != ""
	r.UpstreamLimited, r.HeaderAt = response.Header.Get("Server-Limit") != "", time.Now()
	answer, err := io.ReadAll(response.Body)
	r.Status, r.Body, r.RetryAfter = response.StatusCode, string(answer), response.Header.Get("Retry-After")
	if err != nil {
		return fmt.Errorf("read response body: %w", err)
	}
	return nil
}

// setUsageHeaders sets the headers that announce the token counts of a prompt.
func (c *Caller) setUsageHeaders(h http.Header, id string) {
	h.Set("X-Token-Usage", c.TokenUsage)
	if c.PromptPartsOf != nil {
		h.Set("X-Prompt-Prefix", c.PromptPartsOf(id))
	}
	if c.TokenUsageOf != nil {
		maxTokens, hint := c.TokenUsageOf(id)
		h.Set("X-Token-Usage", fmt.Sprintf("2000,%d", maxTokens))
		h.Set("X-Length-Hint", fmt.Sprint(hint))
	}
}

// isPlainCall reports whether a path belongs to a plain call, which is answered as a
// whole, rather than to a prompt, which is answered by a stream of events.
func isPlainCall(path string) bool {
	return strings.HasPrefix(path, "/once/") || strings.HasPrefix(path, "/safe/")
}

// isRepeatable reports whether requests to a path may run more than once.
func isRepeatable(path string) bool {
	return strings.HasPrefix(path, "/safe/") || strings.HasPrefix(path, "/stream/")
}

// Violations describes the guarantees that a result violates, one text each.
// executionCount is the number of the request's executions at all upstreams, eventCount
// the number of events in the complete answer if that is a stream.
func (r Result) Violations(executionCount, eventCount int) []string {
	var out []string
	if !isRepeatable(r.Path) && executionCount > 1 {
		out = append(out, fmt.Sprintf("%s %s: ran %d times, but must run at most once", r.Path, r.ID, executionCount))
	}
	if executionCount > 2 {
		out = append(out, fmt.Sprintf("%s %s: ran %d times, but at most 2 executions are allowed", r.Path, r.ID, executionCount))
	}
	if r.Err == nil && r.Status == http.StatusServiceUnavailable && !isRepeatable(r.Path) && executionCount > 0 {
		out = append(out, fmt.Sprintf("%s %s: refused with status 503 as not run, but ran", r.Path, r.ID))
	}
	if r.IsServed() && r.Body != completeBody(r, eventCount) {
		out = append(out, fmt.Sprintf("%s %s: response body %q is not the complete answer", r.Path, r.ID, r.Body))
	}
	return out
}

// completeBody returns the body of a complete answer: for a prompt, a stream with the
// given number of events.
func completeBody(r Result, events int) string {
	if isPlainCall(r.Path) {
		return worker.AnswerBody(r.ID)
	}
	text := ""
	for n := 1; n <= events; n++ {
		text += worker.StreamEvent(r.ID, n)
	}
	return text
}
