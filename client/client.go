// Package client sends requests to entries on behalf of a caller. It asks entries for the addresses to use, caches
// them for as long as the entries allow and connects to them directly. It retries failed requests where that is safe,
// and checks that responses are complete.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/sleeper"
)

const (
	// addressesTimeout bounds the request for addresses to one entry.
	addressesTimeout = 2 * time.Second
	// maxEventBytes bounds the size of a server-sent event, and of the body of an error response.
	maxEventBytes = 1 << 20
	// maxResponseBytes bounds the size of a response that is not streamed.
	maxResponseBytes = 64 << 20
)

// Config configures a Client.
type Config struct {
	// Seeds are the addresses of entries that the client asks for the addresses to use.
	Seeds []netip.AddrPort
	// SeedsOnly makes the client send requests to the seeds themselves, without asking for addresses.
	SeedsOnly bool
	// APIKey identifies the caller's organisation. The client sends it as bearer token.
	APIKey string
	// DataCentre is the data centre whose entries the client prefers; empty means no preference.
	DataCentre string
	// HTTPClient sends the requests; nil means a client with default settings and no time limit of its own.
	HTTPClient *http.Client
	// MaxTries is the maximum number of times that a request is sent; 0 means 1.
	MaxTries int
}

// EntryError is an error that an entry reported for a request, in an error response or in the response stream.
type EntryError struct {
	// Detail is the error as the entry sent it. It includes the outcome: whether the request ran.
	Detail api.ErrorDetail
	// Entry is the address of the entry that reported the error.
	Entry netip.AddrPort
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Detail.Code, e.Detail.Outcome, e.Detail.Message)
}

// errNoEntries is returned if no seed is configured or the list of addresses from an entry is empty.
var errNoEntries = errors.New("no entry returned addresses of entries")

// Client sends requests to entries. It is safe for concurrent use.
type Client struct {
	config Config
	budget retryBudget

	// lock guards all fields below.
	lock sync.Mutex
	// cachedEntries is the list that an entry returned last.
	cachedEntries []api.EntryAddress
	// cacheExpiry is the time at which cachedEntries become invalid.
	cacheExpiry time.Time
	// avoidedEntries holds entries that did not respond, are shutting down or are not ready. It is cleared when
	// addresses are fetched, which never happens with SeedsOnly.
	avoidedEntries map[netip.AddrPort]bool
}

// New returns a client. It sends no requests yet.
func New(c Config) *Client {
	if c.HTTPClient == nil {
		c.HTTPClient = &http.Client{}
	}
	return &Client{config: c, avoidedEntries: map[netip.AddrPort]bool{}}
}

// Addresses returns the entries to use. It returns the cached list until that expires, and then asks entries for a new
// one: first the seeds in random order, then the entries of the cached list. It returns an error if none of these
// entries returns addresses.
func (c *Client) Addresses(ctx context.Context) ([]api.EntryAddress, error) {
	if c.config.SeedsOnly {
		return c.seedEntries(), nil
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if time.Now().Before(c.cacheExpiry) && len(c.cachedEntries) > 0 {
		return slices.Clone(c.cachedEntries), nil
	}
	candidates := slices.Clone(c.config.Seeds)
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, e := range c.cachedEntries {
		candidates = append(candidates, e.Address)
	}
	lastErr := errNoEntries
	for _, address := range candidates {
		addresses, err := c.fetchAddresses(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		c.cachedEntries = addresses.Entries
		c.cacheExpiry = time.Now().Add(time.Duration(addresses.LifeSeconds * float64(time.Second)))
		clear(c.avoidedEntries)
		return slices.Clone(c.cachedEntries), nil
	}
	return nil, fmt.Errorf("fetch addresses: %w", lastErr)
}

// seedEntries returns the seeds as entries without name and data centre.
func (c *Client) seedEntries() []api.EntryAddress {
	entries := make([]api.EntryAddress, len(c.config.Seeds))
	for i, address := range c.config.Seeds {
		entries[i].Address = address
	}
	return entries
}

// fetchAddresses asks the entry at the given address for the addresses to use. An empty list is an error.
func (c *Client) fetchAddresses(ctx context.Context, address netip.AddrPort) (api.Addresses, error) {
	ctx, cancel := context.WithTimeout(ctx, addressesTimeout)
	defer cancel()
	var addresses api.Addresses
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+api.PathAddresses, nil)
	if err != nil {
		return addresses, fmt.Errorf("create request for addresses: %w", err)
	}
	response, err := c.config.HTTPClient.Do(request)
	if err != nil {
		return addresses, fmt.Errorf("request addresses: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&addresses); err != nil {
		return addresses, fmt.Errorf("decode addresses: %w", err)
	}
	if len(addresses.Entries) == 0 {
		return addresses, errNoEntries
	}
	return addresses, nil
}

// pickEntry returns the address of a random entry in the preferred data centre, or in any data centre if the preferred
// one has no usable entry. It returns an avoided entry only if all entries are avoided.
func (c *Client) pickEntry(ctx context.Context) (netip.AddrPort, error) {
	entries, err := c.Addresses(ctx)
	if err != nil {
		return netip.AddrPort{}, err
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	usable := slices.DeleteFunc(slices.Clone(entries), func(e api.EntryAddress) bool { return c.avoidedEntries[e.Address] })
	if len(usable) == 0 {
		usable = entries
	}
	preferred := slices.DeleteFunc(slices.Clone(usable), func(e api.EntryAddress) bool { return e.DataCentre != c.config.DataCentre })
	if len(preferred) > 0 {
		usable = preferred
	}
	return usable[rand.IntN(len(usable))].Address, nil
}

// avoidEntry marks an entry as avoided until the addresses are fetched again.
func (c *Client) avoidEntry(address netip.AddrPort) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.avoidedEntries[address] = true
}

// Options holds the options of a request.
type Options struct {
	// Timeout is the time limit of the request including retries. If it is 0, the configuration of the entries
	// limits each try.
	Timeout time.Duration
	// AtMostOnce prevents a request from running twice: the client obtains a ticket for it unless Ticket is set.
	AtMostOnce bool
	// Ticket is the ticket of an earlier try of the same request, to send that request again; empty for none. A ticket
	// can be used for one request only.
	Ticket string
}

// Result is the response to a request. If the request failed, Text and Elapsed are zero, and Tokens is the number of
// tokens received of a streamed response.
type Result struct {
	// Text is the text of a completion, or the response body of a call.
	Text string
	// Tokens is the number of tokens of a completion; 0 for calls.
	Tokens int
	// TimeToFirstToken is the time from sending the last try to its first chunk. It is 0 if the response was not
	// streamed or had no chunk.
	TimeToFirstToken time.Duration
	// Elapsed is the time from sending the last try to the end of its response.
	Elapsed time.Duration
	// Entry is the address of the entry that the last try was sent to.
	Entry netip.AddrPort
	// Tries is the number of times that the request was sent, including a last try that found no entry to send to.
	Tries int
	// Ticket is the ticket of the request, empty if it has none. The request can be sent again with it.
	Ticket string
}

// RequestTicket asks an entry to issue a ticket for a request that may run at most once.
func (c *Client) RequestTicket(ctx context.Context) (string, error) {
	entry, err := c.pickEntry(ctx)
	if err != nil {
		return "", err
	}
	response, err := c.post(ctx, entry, api.PathTickets, nil, Options{})
	if err != nil {
		return "", fmt.Errorf("request ticket: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var ticket api.Ticket
	if err := json.NewDecoder(response.Body).Decode(&ticket); err != nil {
		return "", fmt.Errorf("decode ticket: %w", err)
	}
	return ticket.Ticket, nil
}

// post sends a POST request to an entry and returns a response with status 200, whose body the caller has to close. It
// returns an EntryError if the entry reports an error. It marks the entry as avoided if the entry can't be reached, is
// shutting down or is not ready.
func (c *Client) post(ctx context.Context, entry netip.AddrPort, path string, body []byte, o Options) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	h := request.Header
	h.Set("Authorization", "Bearer "+c.config.APIKey)
	h.Set("Content-Type", "application/json")
	if o.Timeout != 0 {
		h.Set(api.HeaderTimeout, api.FormatSeconds(o.Timeout))
	}
	if o.Ticket != "" {
		h.Set(api.HeaderIdempotencyKey, o.Ticket)
		h.Set(api.HeaderRepeatable, "false")
	}
	response, err := c.config.HTTPClient.Do(request)
	if err != nil {
		c.avoidEntry(entry)
		return nil, fmt.Errorf("send request to entry %s: %w", entry, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	var apiError api.Error
	if err := json.NewDecoder(io.LimitReader(response.Body, maxEventBytes)).Decode(&apiError); err != nil || apiError.Error.Code == "" {
		return nil, fmt.Errorf("send request to entry %s: HTTP status %d", entry, response.StatusCode)
	}
	if apiError.Error.Code == api.CodeStopping || apiError.Error.Code == api.CodeNotReady {
		c.avoidEntry(entry)
	}
	return nil, &EntryError{Detail: apiError.Error, Entry: entry}
}

// Complete sends a prompt and returns the complete response. If the response is streamed, onText is called with the
// text of each chunk; it may be nil. The error is an EntryError if an entry refused the request or reported its
// failure, and a TruncatedError if the response was incomplete. The result's number of tries and ticket are set in
// any case.
func (c *Client) Complete(ctx context.Context, r api.CompletionRequest, o Options, onText func(string)) (Result, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Result{}, fmt.Errorf("encode completion request: %w", err)
	}
	return c.sendWithRetries(ctx, o, func(ctx context.Context, entry netip.AddrPort, o Options) (Result, error) {
		return c.sendCompletion(ctx, entry, body, r.Stream, o, onText)
	})
}

// Call sends a call to a service and returns its response. The error is an EntryError if an entry refused the call or
// reported its failure.
func (c *Client) Call(ctx context.Context, service, call string, body []byte, o Options) (Result, error) {
	path := api.PathServices + service + "/" + call
	return c.sendWithRetries(ctx, o, func(ctx context.Context, entry netip.AddrPort, o Options) (Result, error) {
		start := time.Now()
		response, err := c.post(ctx, entry, path, body, o)
		if err != nil {
			return Result{}, err
		}
		defer func() { _ = response.Body.Close() }()
		text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		if err != nil {
			return Result{}, fmt.Errorf("read response: %w", err)
		}
		return Result{Text: string(text), Elapsed: time.Since(start)}, nil
	})
}

// sendWithRetries sends a request until it succeeds, MaxTries is reached, the time limit passes or the error does not
// permit a retry. A request that may have run is sent again only with its ticket, which keeps it from running twice.
func (c *Client) sendWithRetries(ctx context.Context, o Options, sendOnce func(context.Context, netip.AddrPort, Options) (Result, error)) (Result, error) {
	if o.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, o.Timeout)
		defer cancel()
	}
	c.budget.addRequest()
	for try := 1; ; try++ {
		entry, err := c.pickEntry(ctx)
		if err != nil {
			return Result{Tries: try, Ticket: o.Ticket}, err
		}
		if deadline, ok := ctx.Deadline(); ok {
			o.Timeout = time.Until(deadline)
		}
		var result Result
		if o.AtMostOnce && o.Ticket == "" {
			o.Ticket, err = c.RequestTicket(ctx)
		}
		if err == nil {
			result, err = sendOnce(ctx, entry, o)
		}
		result.Entry, result.Tries, result.Ticket = entry, try, o.Ticket
		if err == nil || try >= c.config.MaxTries {
			return result, err
		}
		delay, isRetryable := retryDelay(err, o)
		// A resend with a ticket asks for the response of one request; any other retry is additional load, which
		// the budget limits.
		isRetryable = isRetryable && (o.Ticket != "" || c.budget.tryRetry())
		if !isRetryable || !sleeper.Sleep(ctx, delay) {
			return result, err
		}
	}
}

// connectionRetryDelay is the delay before a retry after a failed connection or an incomplete response, for which no
// entry stated a delay.
const connectionRetryDelay = 50 * time.Millisecond

// retryDelay returns the delay before a retry, and whether the error permits a retry at all. A request that may have
// run is retried only if it has a ticket.
func retryDelay(err error, o Options) (time.Duration, bool) {
	var entryErr *EntryError
	if !errors.As(err, &entryErr) {
		// The connection failed or the response is incomplete: the request may have run.
		return connectionRetryDelay, o.Ticket != ""
	}
	detail := entryErr.Detail
	if detail.RetryAfterSeconds <= 0 || (detail.Outcome != api.OutcomeNotRun && o.Ticket == "") {
		return 0, false
	}
	return time.Duration(detail.RetryAfterSeconds * float64(time.Second)), true
}

// TruncatedError is the error for a response that ended early, or whose chunks have gaps or a wrong token count. Tokens
// is the number of tokens received.
type TruncatedError struct{ Tokens int }

func (e TruncatedError) Error() string {
	return fmt.Sprintf("response was incomplete: received %d tokens", e.Tokens)
}

// sendCompletion sends a prompt to the given entry once and reads the response.
func (c *Client) sendCompletion(ctx context.Context, entry netip.AddrPort, body []byte, stream bool, o Options, onText func(string)) (Result, error) {
	start := time.Now()
	response, err := c.post(ctx, entry, api.PathCompletions, body, o)
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var result Result
	if !stream {
		var completion api.CompletionChunk
		if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&completion); err != nil {
			return result, fmt.Errorf("read response: %w", err)
		}
		if len(completion.Choices) != 1 || completion.Usage == nil {
			return result, TruncatedError{}
		}
		result.Text, result.Tokens, result.Elapsed = completion.Choices[0].Text, completion.Usage.CompletionTokens, time.Since(start)
		return result, nil
	}
	return readStream(start, entry, response.Body, onText)
}

// readStream reads a streamed response that was requested at the time start. The response is only complete if its
// chunks are consecutive, the last one has the right token count, and the end marker follows.
func readStream(start time.Time, entry netip.AddrPort, body io.Reader, onText func(string)) (Result, error) {
	var result Result
	var text strings.Builder
	isComplete := false
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == api.DoneMarker && isComplete {
			result.Text, result.Elapsed = text.String(), time.Since(start)
			return result, nil
		}
		var chunk api.CompletionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return result, fmt.Errorf("decode response chunk: %w", err)
		}
		if chunk.Error != nil {
			return result, &EntryError{Detail: *chunk.Error, Entry: entry}
		}
		if len(chunk.Choices) != 1 || chunk.Offset != result.Tokens {
			return result, TruncatedError{Tokens: result.Tokens}
		}
		if result.TimeToFirstToken == 0 {
			result.TimeToFirstToken = time.Since(start)
		}
		result.Tokens += chunk.Choices[0].Tokens
		text.WriteString(chunk.Choices[0].Text)
		if onText != nil {
			onText(chunk.Choices[0].Text)
		}
		isComplete = chunk.Usage != nil && chunk.Usage.CompletionTokens == result.Tokens
	}
	if err := scanner.Err(); err != nil {
		return result, fmt.Errorf("read response: %w", err)
	}
	return result, TruncatedError{Tokens: result.Tokens}
}
