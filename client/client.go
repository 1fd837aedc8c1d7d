// Package client sends requests to entries on behalf of a caller. It asks entries for the addresses of the entries
// to use, caches them for as long as the response permits, and sends requests directly to one of them. It retries
// a failed request only if the request did not run or has a ticket, and checks that responses are complete.
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
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/decoder"
	"github.com/sapphireramp/sapphireramp/sleeper"
	"github.com/sapphireramp/sapphireramp/splitter"
)

const (
	// addressesTimeout is the time limit of a request to one entry for addresses.
	addressesTimeout = 2 * time.Second
	// maxEventBytes is the maximum size of a server-sent event, and of the body of an error response.
	maxEventBytes = 1 << 20
	// maxResponseBytes is the maximum size of a response that is not streamed. A larger one is an error, and not
	// read.
	maxResponseBytes = 64 << 20
)

// Config configures a Client.
type Config struct {
	// Seeds are the addresses of entries that the client asks first for the addresses of the entries to use.
	Seeds []netip.AddrPort
	// SeedsOnly makes the client use the seeds themselves, without asking them for addresses.
	SeedsOnly bool
	// APIKey identifies the caller's organisation. It is sent as bearer token.
	APIKey string
	// DataCentre is the data centre whose entries the client prefers; empty means no preference.
	DataCentre string
	// HTTPClient sends the requests; nil means one with connector.DefaultTransport and no time limit of its
	// own.
	HTTPClient *http.Client
	// MaxTries is the maximum number of times that a request is sent, including the first; 0 means 1.
	MaxTries int
}

// EntryError is the error for a request that an entry refused or reported as failed, in an error response or
// within a response stream.
type EntryError struct {
	// Detail is the error as the entry sent it. Its Outcome says whether the request ran.
	Detail api.ErrorDetail
	// Entry is the address of the entry that reported the error.
	Entry netip.AddrPort
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Detail.Code, e.Detail.Outcome, e.Detail.Message)
}

// errNoEntries is the error of Addresses if there are no seeds to ask, or if the last entry asked returned an
// empty list.
var errNoEntries = errors.New("no entry returned addresses of entries")

// Client sends requests to entries. It is safe for concurrent use.
type Client struct {
	config Config
	budget retryBudget

	// lock guards all fields below.
	lock sync.Mutex
	// cachedEntries is the list of entries that was fetched last; empty if none was.
	cachedEntries []api.EntryAddress
	// cacheExpiry is the time from which cachedEntries must be fetched again before use.
	cacheExpiry time.Time
	// avoidedEntries is the set of entries that could not be reached, or responded that they are shutting down or
	// not ready. It is emptied when addresses are fetched, and so never with SeedsOnly.
	avoidedEntries map[netip.AddrPort]bool
}

// New returns a client. It sends no request.
func New(c Config) *Client {
	if c.HTTPClient == nil {
		c.HTTPClient = &http.Client{Transport: connector.DefaultTransport}
	}
	return &Client{config: c, avoidedEntries: map[netip.AddrPort]bool{}}
}

// Addresses returns the entries to use: with SeedsOnly the seeds, otherwise the cached list. If that has expired,
// Addresses fetches a new list from the first entry that returns one: it asks the seeds in random order and then
// the entries of the expired list. It returns the last error if none of them returns a list.
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

// seedEntries returns the seeds as entries with an address but without a name and a data centre.
func (c *Client) seedEntries() []api.EntryAddress {
	entries := make([]api.EntryAddress, len(c.config.Seeds))
	for i, address := range c.config.Seeds {
		entries[i].Address = address
	}
	return entries
}

// fetchAddresses requests the list of entries to use from the entry at the given address. It returns errNoEntries
// for an empty list.
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
	if err := decodeBody(response.Body, maxEventBytes, &addresses); err != nil {
		return addresses, fmt.Errorf("decode addresses: %w", err)
	}
	if len(addresses.Entries) == 0 {
		return addresses, errNoEntries
	}
	return addresses, nil
}

// pickEntry returns the address of a random entry. It prefers entries that are not in avoidedEntries and, among
// the rest, those in the preferred data centre. It returns an error only if Addresses does.
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

// avoidEntry adds an entry to avoidedEntries.
func (c *Client) avoidEntry(address netip.AddrPort) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.avoidedEntries[address] = true
}

// Options holds the options of a request.
type Options struct {
	// Timeout is the time limit of the request including retries. If it is 0, there is none for the retries
	// together, and each try has the default time limit of the entries' configuration.
	Timeout time.Duration
	// AtMostOnce makes sure that the request runs at most once, however often it is sent. If Ticket is empty, the
	// client first obtains a ticket from an entry.
	AtMostOnce bool
	// Ticket is the ticket with which the same request was sent before, to send that request again; empty for
	// none. A ticket must not be used for different requests.
	Ticket string
}

// Result is the response to a request. If the request failed, Text and Elapsed are zero, and Tokens is the number
// of tokens that the last try received in a stream.
type Result struct {
	// Text is the text of a completion, or the response body of a call to a service.
	Text string
	// Tokens is the number of tokens of a completion; 0 for calls to services.
	Tokens int
	// TimeToFirstToken is the time from sending the last try until its first chunk arrived. It is 0 if the
	// response was not streamed or no chunk arrived.
	TimeToFirstToken time.Duration
	// Elapsed is the time from sending the last try until its response was complete.
	Elapsed time.Duration
	// Entry is the address of the entry that was picked for the last try.
	Entry netip.AddrPort
	// Tries is the number of tries, including a last one that failed before the request was sent.
	Tries int
	// Ticket is the ticket of the request, empty if it has none. Options.Ticket takes it to send the request
	// again.
	Ticket string
}

// RequestTicket obtains a ticket from an entry. A request that is sent with the ticket, even repeatedly, runs at
// most once.
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
	if err := decodeBody(response.Body, maxEventBytes, &ticket); err != nil {
		return "", fmt.Errorf("decode ticket: %w", err)
	}
	return ticket.Ticket, nil
}

// decodeBody decodes a response body of up to limit bytes.
func decodeBody(body io.Reader, limit int, target any) error {
	data, err := decoder.ReadAll(body, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, target)
}

// post sends a POST request to an entry and returns a response with status 200, whose body must be closed. It
// returns an EntryError if the entry reports an error, and an UnsentError if the entry can't have received the
// whole request. It adds the entry to avoidedEntries if no response arrives,
// or if the entry reports that it is shutting down or not ready.
func (c *Client) post(ctx context.Context, entry netip.AddrPort, path string, body []byte, o Options) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request, isSent := trackSending(request)
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
		if !isSent() {
			return nil, &UnsentError{Entry: entry, Err: err}
		}
		return nil, fmt.Errorf("send request to entry %s: %w", entry, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	var apiError api.Error
	if err := decodeBody(response.Body, maxEventBytes, &apiError); err != nil || apiError.Error.Code == "" {
		return nil, fmt.Errorf("send request to entry %s: HTTP status %d", entry, response.StatusCode)
	}
	if apiError.Error.Code == api.CodeStopping || apiError.Error.Code == api.CodeNotReady {
		c.avoidEntry(entry)
	}
	return nil, &EntryError{Detail: apiError.Error, Entry: entry}
}

// Complete sends a prompt, with retries, and returns the complete response. If the response is streamed, onText,
// unless nil, is called with the text of each chunk in order; a retry starts again with the first chunk. The error
// wraps an EntryError if an entry refused the request or reported its failure, an UnsentError if the request could
// not be sent, and is a TruncatedError if the response was incomplete. Tries and Ticket of the result are set
// also on errors, except if the request can't be encoded.
func (c *Client) Complete(ctx context.Context, r api.CompletionRequest, o Options, onText func(string)) (Result, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return Result{}, fmt.Errorf("encode completion request: %w", err)
	}
	return c.sendWithRetries(ctx, o, func(ctx context.Context, entry netip.AddrPort, o Options) (Result, error) {
		return c.sendCompletion(ctx, entry, body, r.Stream, o, onText)
	})
}

// Call sends a call to a service, with retries, and returns its response. The error wraps an EntryError if an
// entry refused the call or reported its failure.
func (c *Client) Call(ctx context.Context, service, call string, body []byte, o Options) (Result, error) {
	path := api.PathServices + service + "/" + call
	return c.sendWithRetries(ctx, o, func(ctx context.Context, entry netip.AddrPort, o Options) (Result, error) {
		start := time.Now()
		response, err := c.post(ctx, entry, path, body, o)
		if err != nil {
			return Result{}, err
		}
		defer func() { _ = response.Body.Close() }()
		text, err := decoder.ReadAll(response.Body, maxResponseBytes)
		if err != nil {
			return Result{}, fmt.Errorf("read response: %w", err)
		}
		return Result{Text: string(text), Elapsed: time.Since(start)}, nil
	})
}

// sendWithRetries calls sendOnce with a random entry until it succeeds. It stops with the last error after
// MaxTries, when ctx is done or o.Timeout has passed, if no address is known, if the error permits no retry (see
// retryDelay), or if the retry has no ticket and the retry budget is used up.
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
		// Sending a request again with its ticket does not run it again. A retry without a ticket is additional
		// load, which the budget limits.
		isRetryable = isRetryable && (o.Ticket != "" || c.budget.tryRetry())
		if !isRetryable || !sleeper.Sleep(ctx, delay) {
			return result, err
		}
	}
}

// connectionRetryDelay is the delay before a retry after an error that no entry reported, such as a failed
// connection or an incomplete response.
const connectionRetryDelay = 50 * time.Millisecond

// retryDelay returns the delay before a retry, and whether the error permits a retry. An EntryError permits one if
// it states a delay and either the request did not run or it has a ticket. An UnsentError permits one. Any other
// error permits one only if the request has a ticket, since the request may have run.
func retryDelay(err error, o Options) (time.Duration, bool) {
	var unsent *UnsentError
	if errors.As(err, &unsent) {
		return connectionRetryDelay, true
	}
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

// TruncatedError is the error for a response that ended early, or whose chunks are not consecutive or don't add up
// to the stated number of tokens. Tokens is the number of tokens received until then.
type TruncatedError struct{ Tokens int }

func (e TruncatedError) Error() string {
	return fmt.Sprintf("response was incomplete: received %d tokens", e.Tokens)
}

// sendCompletion sends the encoded completion request to an entry once and reads the response, as a stream if
// stream is set.
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
		if err := decodeBody(response.Body, maxResponseBytes, &completion); err != nil {
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

// readStream reads the stream of a response to a request that was sent at the time start. The response is complete
// if its chunks are consecutive, the last chunk states the number of tokens received, and the end marker follows.
// Otherwise the error is a TruncatedError, an EntryError that the entry sent in the stream, or an error of reading
// or decoding.
func readStream(start time.Time, entry netip.AddrPort, body io.Reader, onText func(string)) (Result, error) {
	var result Result
	var text strings.Builder
	isComplete := false
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	scanner.Split(splitter.ScanCompleteLines)
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
