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

// target is the flags that every command towards the entries has.
type target struct {
	entries    string
	key        string
	dataCentre string
	timeout    time.Duration
	tries      int
	direct     bool
}

func (t *target) attach(flags *flaggy.Subcommand) {
	flags.String(&t.entries, "e", "entry", "entries to ask for addresses, IP:port, separated by commas")
	flags.String(&t.key, "k", "key", "bearer key of the organisation")
	flags.String(&t.dataCentre, "", "data-centre", "data centre whose entries are preferred")
	flags.Bool(&t.direct, "", "direct", "use the entries named themselves, without asking for addresses")
	flags.Duration(&t.timeout, "t", "timeout", "time limit of the request")
	flags.Int(&t.tries, "", "tries", "how often the request is sent at most")
}

func newTarget() *target {
	return &target{timeout: time.Minute, tries: 3}
}

func (t *target) addresses() ([]netip.AddrPort, error) {
	if t.entries == "" {
		return nil, fmt.Errorf("--entry: at least one IP:port is needed")
	}
	var out []netip.AddrPort
	for text := range strings.SplitSeq(t.entries, ",") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("--entry: %q: must be IP:port: %w", text, err)
		}
		out = append(out, address)
	}
	return out, nil
}

func (t *target) client() (*client.Client, error) {
	seeds, err := t.addresses()
	if err != nil {
		return nil, err
	}
	if t.timeout <= 0 {
		return nil, fmt.Errorf("--timeout: %s: must be more than 0", t.timeout)
	}
	if t.tries < 1 {
		return nil, fmt.Errorf("--tries: %d: must be at least 1", t.tries)
	}
	return client.New(client.Config{Seeds: seeds, SeedsOnly: t.direct, APIKey: t.key, DataCentre: t.dataCentre, MaxTries: t.tries, HTTPClient: &http.Client{}}), nil
}

// filler is the text of which made-up prompts consist: 4 bytes, one token.
const filler = "abc "

func askCommand() command {
	flags := newCommand("ask", "send a prompt and print the answer")
	t := newTarget()
	t.attach(flags)
	r := api.CompletionRequest{Stream: true, MaxTokens: 16}
	promptFile, once, quiet, tokens := "", false, false, 0
	flags.AddPositionalValue(&r.Prompt, "PROMPT", 1, false, "the prompt's text")
	flags.String(&r.Model, "m", "model", "model to ask")
	flags.String(&r.Adapter, "", "adapter", "adapter to use")
	flags.Int(&r.MaxTokens, "n", "max-tokens", "tokens of the answer")
	flags.String(&promptFile, "f", "file", "file with the prompt")
	flags.Int(&tokens, "", "tokens", "make up a prompt of this many tokens")
	flags.Bool(&once, "", "once", "the request may run at most once")
	flags.Bool(&quiet, "q", "quiet", "print a line of key=value pairs instead of the answer")
	return command{flags: flags, run: func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		if promptFile != "" {
			data, err := os.ReadFile(promptFile)
			if err != nil {
				return fmt.Errorf("read prompt: %w", err)
			}
			r.Prompt = string(data)
		}
		if tokens > 0 {
			r.Prompt += strings.Repeat(filler, tokens)
		}
		show := func(text string) { _, _ = fmt.Print(text) }
		if quiet {
			show = nil
		}
		result, err := c.Complete(ctx, r, client.Options{Timeout: t.timeout, AtMostOnce: once}, show)
		if !quiet {
			_, _ = fmt.Println()
		}
		return summarise(result, err, quiet)
	}}
}

// summarise prints what became of a request as one line.
func summarise(r client.Result, err error, print bool) error {
	outcome := api.OutcomeAnswered
	if err != nil {
		outcome = api.OutcomeUnknown
	}
	if refused, ok := asOutcome(err); ok {
		outcome = refused.Detail.Outcome
	}
	if print {
		_, _ = fmt.Printf("outcome=%s tokens=%d first_token_ms=%d took_ms=%d entry=%s tries=%d\n",
			outcome, r.Tokens, r.TimeToFirstToken.Milliseconds(), r.Elapsed.Milliseconds(), r.Entry, r.Tries)
	}
	return err
}

func callCommand() command {
	flags := newCommand("call", "send a call to a service and print the answer")
	t := newTarget()
	t.attach(flags)
	service, call, body, once, ticket := "", "", "{}", false, ""
	flags.AddPositionalValue(&service, "SERVICE", 1, true, "service to call")
	flags.AddPositionalValue(&call, "CALL", 2, true, "call of the service")
	flags.String(&body, "b", "body", "body of the call")
	flags.Bool(&once, "", "once", "the call may run at most once")
	flags.String(&ticket, "", "ticket", "ticket had before, to present again")
	return command{flags: flags, run: func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		result, err := c.Call(ctx, service, call, []byte(body), client.Options{Timeout: t.timeout, AtMostOnce: once, Ticket: ticket})
		if err == nil {
			_, _ = fmt.Println(strings.TrimSpace(result.Text))
		}
		return summarise(result, err, true)
	}}
}

func addressesCommand() command {
	flags := newCommand("addresses", "ask which addresses to use")
	t := newTarget()
	t.attach(flags)
	return command{flags: flags, run: func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, t.timeout)
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
	t := newTarget()
	t.attach(flags)
	return command{flags: flags, run: func(context.Context) error {
		addresses, err := t.addresses()
		if err != nil {
			return err
		}
		for _, address := range addresses {
			var status api.Status
			web := &http.Client{Timeout: t.timeout}
			response, err := sling.New().Client(web).Base("http://" + address.String()).Get(api.PathStatus).ReceiveSuccess(&status)
			if err != nil {
				return fmt.Errorf("ask entry: %w", err)
			}
			if response.StatusCode != http.StatusOK {
				return fmt.Errorf("ask entry: status %d", response.StatusCode)
			}
			out := json.NewEncoder(os.Stdout)
			out.SetIndent("", "  ")
			if err := out.Encode(status); err != nil {
				return fmt.Errorf("print status: %w", err)
			}
		}
		return nil
	}}
}
