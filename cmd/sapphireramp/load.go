package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/client"
)

func asEntryError(err error) (*client.EntryError, bool) {
	var refused *client.EntryError
	ok := errors.As(err, &refused)
	return refused, ok
}

// lengthClass is a class of prompt lengths in tokens, as the table shows it.
type lengthClass struct {
	name                 string
	minTokens, maxTokens int
	// percent is how many of a hundred requests are of the class.
	percent int
}

var lengthClasses = []lengthClass{
	{"1k-4k", 1_000, 4_000, 70},
	{"4k-32k", 4_000, 32_000, 20},
	{"32k-128k", 32_000, 128_000, 8},
	{"128k-1M", 128_000, 1_000_000, 2},
}

// lengthRange of the prompts sent, in tokens.
type lengthRange struct{ min, max int }

// classResult is what was measured of one class.
type classResult struct {
	timeToFirstToken *hdrhistogram.Histogram
	outcomes         map[api.Outcome]int
}

// loadTest drives a running system.
type loadTest struct {
	client  *client.Client
	request api.CompletionRequest
	timeout time.Duration

	lock    sync.Mutex
	results []classResult
}

func loadCommand() command {
	flags := newCommand("load", "drive a running system and print a table")
	options := newClientOptions()
	options.addFlags(flags)
	rate, duration, seed, lengths := 10.0, 10*time.Second, uint64(1), lengthRange{min: 1000, max: 1_000_000}
	plotFile := ""
	request := api.CompletionRequest{Stream: true, MaxTokens: 16}
	flags.String(&plotFile, "", "plot", "file to write a plot to (SVG)")
	flags.Float64(&rate, "r", "rate", "requests a second")
	flags.Duration(&duration, "d", "duration", "how long to send")
	flags.UInt64(&seed, "", "seed", "seed of lengths and times")
	flags.Int(&lengths.min, "", "shortest", "shortest prompt in tokens")
	flags.Int(&lengths.max, "", "longest", "longest prompt in tokens")
	flags.String(&request.Model, "m", "model", "model to ask")
	flags.Int(&request.MaxTokens, "n", "max-tokens", "tokens of each answer")
	return command{flags: flags, run: func(ctx context.Context) error {
		c, err := options.newClient()
		if err != nil {
			return err
		}
		if rate <= 0 || rate > 10_000 {
			return fmt.Errorf("--rate: %g: must be over 0 and at most 10000", rate)
		}
		if duration <= 0 || duration > time.Hour {
			return fmt.Errorf("--duration: %s: must be over 0 and at most 1h", duration)
		}
		if lengths.min < 1 || lengths.max < lengths.min || lengths.max > 100_000_000 {
			return fmt.Errorf("--shortest, --longest: %d, %d: must be from 1 to 100000000, the shortest first", lengths.min, lengths.max)
		}
		test := newLoadTest(c, request, options.timeout)
		test.run(ctx, rand.New(rand.NewPCG(seed, seed)), rate, duration, lengths)
		test.printTable()
		return test.savePlot(plotFile)
	}}
}

// savePlot writes the plot to a file, if one was named.
func (l *loadTest) savePlot(path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("--plot: %w", err)
	}
	err = l.writePlot(file)
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// histogram bounds, in microseconds.
const (
	minMicros         = 1
	maxMicros         = 3_600_000_000
	significantDigits = 3
)

func newLoadTest(c *client.Client, r api.CompletionRequest, timeout time.Duration) *loadTest {
	l := &loadTest{client: c, request: r, timeout: timeout}
	for range lengthClasses {
		l.results = append(l.results, classResult{
			timeToFirstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits),
			outcomes:         map[api.Outcome]int{},
		})
	}
	return l
}

// run sends requests at random times of the given mean rate, and waits for
// all answers.
func (l *loadTest) run(ctx context.Context, random *rand.Rand, rate float64, duration time.Duration, lengths lengthRange) {
	var sent sync.WaitGroup
	start := time.Now()
	shown := start
	for n := 1; time.Since(start) < duration && ctx.Err() == nil; n++ {
		class, tokens := randomLength(random, lengths)
		sent.Add(1)
		go func() {
			defer sent.Done()
			l.sendRequest(ctx, class, tokens)
		}()
		if time.Since(shown) > time.Second {
			shown = time.Now()
			_, _ = fmt.Fprintf(os.Stderr, "sent=%d elapsed=%s\n", n, time.Since(start).Round(time.Second))
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	sent.Wait()
}

func randomLength(random *rand.Rand, lengths lengthRange) (class, tokens int) {
	percent := random.IntN(100)
	for i, c := range lengthClasses {
		if percent < c.percent || i == len(lengthClasses)-1 {
			return i, min(lengths.max, max(lengths.min, c.minTokens+random.IntN(c.maxTokens-c.minTokens)))
		}
		percent -= c.percent
	}
	return 0, lengthClasses[0].minTokens
}

func (l *loadTest) sendRequest(ctx context.Context, class, tokens int) {
	r := l.request
	r.Prompt = strings.Repeat(fillerToken, tokens)
	result, err := l.client.Complete(ctx, r, client.Options{Timeout: l.timeout}, nil)
	outcome := api.OutcomeAnswered
	if err != nil {
		outcome = api.OutcomeUnknown
	}
	if refused, ok := asEntryError(err); ok {
		outcome = refused.Detail.Outcome
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.results[class].outcomes[outcome]++
	if err == nil {
		_ = l.results[class].timeToFirstToken.RecordValue(result.TimeToFirstToken.Microseconds())
	}
}

func (l *loadTest) printTable() {
	_, _ = fmt.Printf("%-10s %8s %8s %8s %10s %10s %10s\n", "tokens", "answered", "not_run", "unknown", "p50_ms", "p95_ms", "p99_ms")
	for i, c := range lengthClasses {
		t := l.results[i]
		_, _ = fmt.Printf("%-10s %8d %8d %8d %10.1f %10.1f %10.1f\n", c.name, t.outcomes[api.OutcomeAnswered], t.outcomes[api.OutcomeNotRun], t.outcomes[api.OutcomeUnknown],
			quantileMillis(t.timeToFirstToken, 50), quantileMillis(t.timeToFirstToken, 95), quantileMillis(t.timeToFirstToken, 99))
	}
}

func quantileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
