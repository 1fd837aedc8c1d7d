package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/integrii/flaggy"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
	"github.com/sapphireramp/sapphireramp/connector"
)

// clientOptions holds the flags that are common to all commands that send requests to entries.
type clientOptions struct {
	// seeds lists the addresses of entries, IP:port, separated by commas.
	seeds string
	// apiKey identifies the caller's organisation. It is sent as bearer token.
	apiKey string
	// dataCentre is the data centre whose entries are preferred; empty means no preference.
	dataCentre string
	// timeout is the time limit of a request including its retries; for a status request, that of each entry.
	timeout time.Duration
	// maxTries is the maximum number of times that a request is sent, at least 1.
	maxTries int
	// seedsOnly makes the client send requests to the entries in seeds, without asking them for other
	// addresses.
	seedsOnly bool
}

func (o *clientOptions) addFlags(flags *flaggy.Subcommand) {
	flags.String(&o.seeds, "e", "entry", "addresses of entries, IP:port, separated by commas; the client asks them for the addresses to use")
	flags.String(&o.apiKey, "k", "key", "API key of the organisation, sent as bearer token")
	flags.String(&o.dataCentre, "", "data-centre", "data centre whose entries are preferred")
	flags.Bool(&o.seedsOnly, "", "direct", "send requests only to the entries given by --entry, without asking them for addresses")
	flags.Duration(&o.timeout, "t", "timeout", "time limit of a request")
	flags.Int(&o.maxTries, "", "tries", "maximum number of times that a request is sent")
}

func newClientOptions() *clientOptions {
	return &clientOptions{timeout: time.Minute, maxTries: 3}
}

// parseSeeds returns the addresses given by the flag --entry. It returns an error if the flag is empty or an
// address is not IP:port.
func (o *clientOptions) parseSeeds() ([]netip.AddrPort, error) {
	if o.seeds == "" {
		return nil, fmt.Errorf("--entry: at least one IP:port is needed")
	}
	var out []netip.AddrPort
	for text := range strings.SplitSeq(o.seeds, ",") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("--entry: %q: must be IP:port: %w", text, err)
		}
		out = append(out, address)
	}
	return out, nil
}

// newClient returns a client with these options. It returns an error if a flag has an invalid value.
func (o *clientOptions) newClient() (*client.Client, error) {
	seeds, err := o.parseSeeds()
	if err != nil {
		return nil, err
	}
	if o.timeout <= 0 {
		return nil, fmt.Errorf("--timeout: %s: must be greater than 0", o.timeout)
	}
	if o.maxTries < 1 {
		return nil, fmt.Errorf("--tries: %d: must be at least 1", o.maxTries)
	}
	return client.New(client.Config{Seeds: seeds, SeedsOnly: o.seedsOnly, APIKey: o.apiKey, DataCentre: o.dataCentre, MaxTries: o.maxTries}), nil
}

// fillerToken is repeated to make a prompt of a given length. It has 4 bytes, which entries count as one
// token (see api.BytesPerToken).
const fillerToken = "abc "

func askCommand() command {
	flags := newCommand("ask", "send a prompt and print the response")
	options := newClientOptions()
	options.addFlags(flags)
	request := api.CompletionRequest{Stream: true, MaxTokens: 16}
	promptFile, atMostOnce, isQuiet, fillerTokens := "", false, false, 0
	flags.AddPositionalValue(&request.Prompt, "PROMPT", 1, false, "text of the prompt")
	flags.String(&request.Model, "m", "model", "model that runs the prompt")
	flags.String(&request.Adapter, "", "adapter", "adapter of the model to use")
	flags.Int(&request.MaxTokens, "n", "max-tokens", "maximum number of tokens of the response")
	flags.String(&promptFile, "f", "file", "file that contains the prompt")
	flags.Int(&fillerTokens, "", "tokens", "number of filler tokens to append to the prompt")
	flags.Bool(&atMostOnce, "", "once", "obtain a ticket so that the request runs at most once")
	flags.Bool(&isQuiet, "q", "quiet", "print one line of key=value pairs instead of the response")
	return command{flags: flags, run: func(ctx context.Context) error {
		c, err := options.newClient()
		if err != nil {
			return err
		}
		if promptFile != "" {
			data, err := os.ReadFile(promptFile)
			if err != nil {
				return fmt.Errorf("read prompt: %w", err)
			}
			request.Prompt = string(data)
		}
		if fillerTokens > 0 {
			request.Prompt += strings.Repeat(fillerToken, fillerTokens)
		}
		onText := func(text string) { _, _ = fmt.Print(text) }
		if isQuiet {
			onText = nil
		}
		result, err := c.Complete(ctx, request, client.Options{Timeout: options.timeout, AtMostOnce: atMostOnce}, onText)
		if !isQuiet {
			_, _ = fmt.Println()
		}
		return reportResult(result, err, isQuiet)
	}}
}

// outcomeOf returns the outcome of a request: the one that the entry reported, not_run if the request was not sent,
// and unknown if it failed otherwise. With a ticket, an earlier try of the request may have run.
func outcomeOf(r client.Result, err error) api.Outcome {
	var unsent *client.UnsentError
	entryErr, isReported := asEntryError(err)
	switch {
	case err == nil:
		return api.OutcomeAnswered
	case isReported:
		return entryErr.Detail.Outcome
	case errors.As(err, &unsent) && r.Ticket == "":
		return api.OutcomeNotRun
	}
	return api.OutcomeUnknown
}

// reportResult returns err. If printSummary is set, it first prints the result of a request as one line of
// key=value pairs.
func reportResult(r client.Result, err error, printSummary bool) error {
	outcome := outcomeOf(r, err)
	if printSummary {
		_, _ = fmt.Printf("outcome=%s tokens=%d first_token_ms=%d took_ms=%d entry=%s tries=%d\n",
			outcome, r.Tokens, r.TimeToFirstToken.Milliseconds(), r.Elapsed.Milliseconds(), r.Entry, r.Tries)
	}
	return err
}

func callCommand() command {
	flags := newCommand("call", "send a call to a service and print the response")
	options := newClientOptions()
	options.addFlags(flags)
	service, call, body, atMostOnce, ticket := "", "", "{}", false, ""
	flags.AddPositionalValue(&service, "SERVICE", 1, true, "service to call")
	flags.AddPositionalValue(&call, "CALL", 2, true, "name of the call")
	flags.String(&body, "b", "body", "request body of the call, JSON")
	flags.Bool(&atMostOnce, "", "once", "obtain a ticket so that the call runs at most once")
	flags.String(&ticket, "", "ticket", "ticket from an earlier try of the same call, to send it again")
	return command{flags: flags, run: func(ctx context.Context) error {
		c, err := options.newClient()
		if err != nil {
			return err
		}
		result, err := c.Call(ctx, service, call, []byte(body), client.Options{Timeout: options.timeout, AtMostOnce: atMostOnce, Ticket: ticket})
		if err == nil {
			_, _ = fmt.Println(strings.TrimSpace(result.Text))
		}
		return reportResult(result, err, true)
	}}
}

func addressesCommand() command {
	flags := newCommand("addresses", "print the entry addresses that a caller should use")
	options := newClientOptions()
	options.addFlags(flags)
	return command{flags: flags, run: func(ctx context.Context) error {
		c, err := options.newClient()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, options.timeout)
		defer cancel()
		entries, err := c.Addresses(ctx)
		if err != nil {
			return err
		}
		for _, e := range entries {
			_, _ = fmt.Printf("name=%s address=%s data_centre=%s\n", e.Name, e.Address, e.DataCentre)
		}
		return nil
	}}
}

func statusCommand() command {
	flags := newCommand("status", "print the status of entries as JSON")
	options := newClientOptions()
	options.addFlags(flags)
	return command{flags: flags, run: func(context.Context) error {
		addresses, err := options.parseSeeds()
		if err != nil {
			return err
		}
		for _, address := range addresses {
			var status api.Status
			httpClient := &http.Client{Transport: connector.DefaultTransport, Timeout: options.timeout}
			response, err := sling.New().Client(httpClient).Base("http://" + address.String()).Get(api.PathStatus).ReceiveSuccess(&status)
			if err != nil {
				return fmt.Errorf("get status of entry: %w", err)
			}
			if response.StatusCode != http.StatusOK {
				return fmt.Errorf("get status of entry: HTTP status %d", response.StatusCode)
			}
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			if err := encoder.Encode(status); err != nil {
				return fmt.Errorf("print status: %w", err)
			}
		}
		return nil
	}}
}
