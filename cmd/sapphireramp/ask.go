package main

import (
	"context"
	"encoding/json"
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
)

// clientOptions is the flags that every command towards the entries has.
type clientOptions struct {
	seeds      string
	apiKey     string
	dataCentre string
	timeout    time.Duration
	maxTries   int
	seedsOnly  bool
}

func (o *clientOptions) addFlags(flags *flaggy.Subcommand) {
	flags.String(&o.seeds, "e", "entry", "entries to ask for addresses, IP:port, separated by commas")
	flags.String(&o.apiKey, "k", "key", "bearer key of the organisation")
	flags.String(&o.dataCentre, "", "data-centre", "data centre whose entries are preferred")
	flags.Bool(&o.seedsOnly, "", "direct", "use the entries named themselves, without asking for addresses")
	flags.Duration(&o.timeout, "t", "timeout", "time limit of the request")
	flags.Int(&o.maxTries, "", "tries", "how often the request is sent at most")
}

func newClientOptions() *clientOptions {
	return &clientOptions{timeout: time.Minute, maxTries: 3}
}

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

func (o *clientOptions) newClient() (*client.Client, error) {
	seeds, err := o.parseSeeds()
	if err != nil {
		return nil, err
	}
	if o.timeout <= 0 {
		return nil, fmt.Errorf("--timeout: %s: must be more than 0", o.timeout)
	}
	if o.maxTries < 1 {
		return nil, fmt.Errorf("--tries: %d: must be at least 1", o.maxTries)
	}
	return client.New(client.Config{Seeds: seeds, SeedsOnly: o.seedsOnly, APIKey: o.apiKey, DataCentre: o.dataCentre, MaxTries: o.maxTries, HTTPClient: &http.Client{}}), nil
}

// fillerToken is the text of which made-up prompts consist: 4 bytes, one token.
const fillerToken = "abc "

func askCommand() command {
	flags := newCommand("ask", "send a prompt and print the answer")
	options := newClientOptions()
	options.addFlags(flags)
	request := api.CompletionRequest{Stream: true, MaxTokens: 16}
	promptFile, atMostOnce, isQuiet, fillerTokens := "", false, false, 0
	flags.AddPositionalValue(&request.Prompt, "PROMPT", 1, false, "the prompt's text")
	flags.String(&request.Model, "m", "model", "model to ask")
	flags.String(&request.Adapter, "", "adapter", "adapter to use")
	flags.Int(&request.MaxTokens, "n", "max-tokens", "tokens of the answer")
	flags.String(&promptFile, "f", "file", "file with the prompt")
	flags.Int(&fillerTokens, "", "tokens", "make up a prompt of this many tokens")
	flags.Bool(&atMostOnce, "", "once", "the request may run at most once")
	flags.Bool(&isQuiet, "q", "quiet", "print a line of key=value pairs instead of the answer")
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

// reportResult prints what became of a request as one line.
func reportResult(r client.Result, err error, printSummary bool) error {
	outcome := api.OutcomeAnswered
	if err != nil {
		outcome = api.OutcomeUnknown
	}
	if refused, ok := asEntryError(err); ok {
		outcome = refused.Detail.Outcome
	}
	if printSummary {
		_, _ = fmt.Printf("outcome=%s tokens=%d first_token_ms=%d took_ms=%d entry=%s tries=%d\n",
			outcome, r.Tokens, r.TimeToFirstToken.Milliseconds(), r.Elapsed.Milliseconds(), r.Entry, r.Tries)
	}
	return err
}

func callCommand() command {
	flags := newCommand("call", "send a call to a service and print the answer")
	options := newClientOptions()
	options.addFlags(flags)
	service, call, body, atMostOnce, ticket := "", "", "{}", false, ""
	flags.AddPositionalValue(&service, "SERVICE", 1, true, "service to call")
	flags.AddPositionalValue(&call, "CALL", 2, true, "call of the service")
	flags.String(&body, "b", "body", "body of the call")
	flags.Bool(&atMostOnce, "", "once", "the call may run at most once")
	flags.String(&ticket, "", "ticket", "ticket had before, to present again")
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
	flags := newCommand("addresses", "ask which addresses to use")
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
	flags := newCommand("status", "print what an entry believes")
	options := newClientOptions()
	options.addFlags(flags)
	return command{flags: flags, run: func(context.Context) error {
		addresses, err := options.parseSeeds()
		if err != nil {
			return err
		}
		for _, address := range addresses {
			var status api.Status
			httpClient := &http.Client{Timeout: options.timeout}
			response, err := sling.New().Client(httpClient).Base("http://" + address.String()).Get(api.PathStatus).ReceiveSuccess(&status)
			if err != nil {
				return fmt.Errorf("ask entry: %w", err)
			}
			if response.StatusCode != http.StatusOK {
				return fmt.Errorf("ask entry: status %d", response.StatusCode)
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
