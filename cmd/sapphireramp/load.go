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

// asEntryError returns the client.EntryError that err is or wraps, and whether there is one.
func asEntryError(err error) (*client.EntryError, bool) {
	var entryErr *client.EntryError
	ok := errors.As(err, &entryErr)
	return entryErr, ok
}

// lengthClass is a range of prompt lengths. The load test prints separate results for each class.
type lengthClass struct {
	name string
	// minTokens and maxTokens are the bounds of the prompt length in tokens: minTokens is included, maxTokens
	// is not.
	minTokens, maxTokens int
	// percent is the percentage of requests that get a prompt of this class.
	percent int
}

// lengthClasses lists the classes by increasing length. Their percentages add up to 100.
var lengthClasses = []lengthClass{
	{"1k-4k", 1_000, 4_000, 70},
	{"4k-32k", 4_000, 32_000, 20},
	{"32k-128k", 32_000, 128_000, 8},
	{"128k-1M", 128_000, 1_000_000, 2},
}

// lengthRange holds the minimum and maximum length of generated prompts in tokens, both inclusive.
type lengthRange struct{ min, max int }

// classResult holds the measurements of one class of prompt lengths.
type classResult struct {
	// timeToFirstToken holds the times to first token of the complete responses, in microseconds.
	timeToFirstToken *hdrhistogram.Histogram
	// outcomes counts the requests by outcome.
	outcomes map[api.Outcome]int
}

// loadTest sends generated prompts to a running system and collects the results.
type loadTest struct {
	client *client.Client
	// request is the template of all requests; Prompt is replaced in each.
	request api.CompletionRequest
	// timeout is the time limit of each request, its retries included.
	timeout time.Duration

	// lock guards results.
	lock sync.Mutex
	// results has one element for each of lengthClasses, in the same order.
	results []classResult
}

func loadCommand() command {
	flags := newCommand("load", "send generated prompts to a running system and print the results as a table")
	options := newClientOptions()
	options.addFlags(flags)
	rate, duration, seed, lengths := 10.0, 10*time.Second, uint64(1), lengthRange{min: 1000, max: 1_000_000}
	plotFile := ""
	request := api.CompletionRequest{Stream: true, MaxTokens: 16}
	flags.String(&plotFile, "", "plot", "file to write a plot of the time to first token to (SVG)")
	flags.Float64(&rate, "r", "rate", "mean number of requests per second")
	flags.Duration(&duration, "d", "duration", "duration for which requests are sent")
	flags.UInt64(&seed, "", "seed", "seed of the random prompt lengths and send times")
	flags.Int(&lengths.min, "", "shortest", "minimum prompt length in tokens")
	flags.Int(&lengths.max, "", "longest", "maximum prompt length in tokens")
	flags.String(&request.Model, "m", "model", "model that runs the prompts")
	flags.Int(&request.MaxTokens, "n", "max-tokens", "maximum number of tokens of each response")
	return command{flags: flags, run: func(ctx context.Context) error {
		c, err := options.newClient()
		if err != nil {
			return err
		}
		if rate <= 0 || rate > 10_000 {
			return fmt.Errorf("--rate: %g: must be greater than 0 and at most 10000", rate)
		}
		if duration <= 0 || duration > time.Hour {
			return fmt.Errorf("--duration: %s: must be greater than 0 and at most 1h", duration)
		}
		if lengths.min < 1 || lengths.max < lengths.min || lengths.max > 100_000_000 {
			return fmt.Errorf("--shortest, --longest: %d, %d: must be from 1 to 100000000, and the shortest not above the longest", lengths.min, lengths.max)
		}
		test := newLoadTest(c, request, options.timeout)
		test.run(ctx, rand.New(rand.NewPCG(seed, seed)), rate, duration, lengths)
		test.printTable()
		return test.savePlot(plotFile)
	}}
}

// savePlot writes an SVG plot of the results to the file at path. It does nothing if path is empty.
func (l *loadTest) savePlot(path string) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create plot file: %w", err)
	}
	err = l.writePlot(file)
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return fmt.Errorf("write plot file: %w", err)
	}
	return nil
}

// Range and precision of the histograms of the time to first token.
const (
	// minMicros and maxMicros are the smallest and largest times in microseconds; maxMicros is one hour.
	minMicros = 1
	maxMicros = 3_600_000_000
	// significantDigits is the number of decimal digits to which a histogram keeps each time.
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

// run sends requests for the given duration or until ctx is done, and waits for all responses. The times
// between requests are exponentially distributed with a mean of 1/rate seconds. A request is sent whether or
// not earlier ones were answered. About once a second, run prints to standard error how many requests it has
// sent.
func (l *loadTest) run(ctx context.Context, random *rand.Rand, rate float64, duration time.Duration, lengths lengthRange) {
	var requests sync.WaitGroup
	start := time.Now()
	lastShown := start
	for n := 1; time.Since(start) < duration && ctx.Err() == nil; n++ {
		class, tokens := randomLength(random, lengths)
		requests.Add(1)
		go func() {
			defer requests.Done()
			l.sendRequest(ctx, class, tokens)
		}()
		if time.Since(lastShown) > time.Second {
			lastShown = time.Now()
			_, _ = fmt.Fprintf(os.Stderr, "sent=%d elapsed=%s\n", n, time.Since(start).Round(time.Second))
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	requests.Wait()
}

// randomLength picks a random class, weighted by percent, and a random number of tokens within that class. It
// returns the index of the class in lengthClasses and the number of tokens, limited to the given range. A
// limited number may lie outside the class.
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

// sendRequest sends a prompt of the given number of tokens and records the outcome in the results of the
// class with the given index in lengthClasses.
func (l *loadTest) sendRequest(ctx context.Context, class, tokens int) {
	r := l.request
	r.Prompt = strings.Repeat(fillerToken, tokens)
	result, err := l.client.Complete(ctx, r, client.Options{Timeout: l.timeout}, nil)
	l.lock.Lock()
	defer l.lock.Unlock()
	l.results[class].outcomes[outcomeOf(result, err)]++
	if err == nil {
		_ = l.results[class].timeToFirstToken.RecordValue(result.TimeToFirstToken.Microseconds())
	}
}

// printTable prints a row for each class of prompt lengths: the number of requests by outcome, and quantiles
// of the time to first token in milliseconds.
func (l *loadTest) printTable() {
	_, _ = fmt.Printf("%-10s %8s %8s %8s %10s %10s %10s\n", "tokens", "answered", "not_run", "unknown", "p50_ms", "p95_ms", "p99_ms")
	for i, c := range lengthClasses {
		t := l.results[i]
		_, _ = fmt.Printf("%-10s %8d %8d %8d %10.1f %10.1f %10.1f\n", c.name, t.outcomes[api.OutcomeAnswered], t.outcomes[api.OutcomeNotRun], t.outcomes[api.OutcomeUnknown],
			quantileMillis(t.timeToFirstToken, 50), quantileMillis(t.timeToFirstToken, 95), quantileMillis(t.timeToFirstToken, 99))
	}
}

// quantileMillis returns, in milliseconds, the value at a percentile (0 to 100) of a histogram in
// microseconds.
func quantileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
