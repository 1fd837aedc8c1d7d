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

func asOutcome(err error) (*client.EntryError, bool) {
	var refused *client.EntryError
	ok := errors.As(err, &refused)
	return refused, ok
}

// lengthClass is a class of prompt lengths in tokens, as the table shows it.
type lengthClass struct {
	name      string
	low, high int
	// share is how many of a hundred requests are of the class.
	share int
}

var lengthClasses = []lengthClass{
	{"1k-4k", 1_000, 4_000, 70},
	{"4k-32k", 4_000, 32_000, 20},
	{"32k-128k", 32_000, 128_000, 8},
	{"128k-1M", 128_000, 1_000_000, 2},
}

// bounds of the prompts sent, in tokens.
type bounds struct{ shortest, longest int }

// classTally is what was measured of one class.
type classTally struct {
	firstToken *hdrhistogram.Histogram
	outcomes   map[api.Outcome]int
}

// load drives a running system.
type load struct {
	client  *client.Client
	request api.CompletionRequest
	timeout time.Duration

	lock    sync.Mutex
	classes []classTally
}

func loadCommand() command {
	flags := newCommand("load", "drive a running system and print a table")
	t := newTarget()
	t.attach(flags)
	rate, duration, seed, lengths := 10.0, 10*time.Second, uint64(1), bounds{shortest: 1000, longest: 1_000_000}
	plotFile := ""
	r := api.CompletionRequest{Stream: true, MaxTokens: 16}
	flags.String(&plotFile, "", "plot", "file to write a plot to (SVG)")
	flags.Float64(&rate, "r", "rate", "requests a second")
	flags.Duration(&duration, "d", "duration", "how long to send")
	flags.UInt64(&seed, "", "seed", "seed of lengths and times")
	flags.Int(&lengths.shortest, "", "shortest", "shortest prompt in tokens")
	flags.Int(&lengths.longest, "", "longest", "longest prompt in tokens")
	flags.String(&r.Model, "m", "model", "model to ask")
	flags.Int(&r.MaxTokens, "n", "max-tokens", "tokens of each answer")
	return command{flags: flags, run: func(ctx context.Context) error {
		c, err := t.client()
		if err != nil {
			return err
		}
		if rate <= 0 || rate > 10_000 {
			return fmt.Errorf("--rate: %g: must be over 0 and at most 10000", rate)
		}
		if duration <= 0 || duration > time.Hour {
			return fmt.Errorf("--duration: %s: must be over 0 and at most 1h", duration)
		}
		if lengths.shortest < 1 || lengths.longest < lengths.shortest || lengths.longest > 100_000_000 {
			return fmt.Errorf("--shortest, --longest: %d, %d: must be from 1 to 100000000, the shortest first", lengths.shortest, lengths.longest)
		}
		l := newLoad(c, r, t.timeout)
		l.run(ctx, rand.New(rand.NewPCG(seed, seed)), rate, duration, lengths)
		l.print()
		return l.savePlot(plotFile)
	}}
}

// savePlot writes the plot to a file, if one was named.
func (l *load) savePlot(path string) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("--plot: %w", err)
	}
	err = l.plot(f)
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// histogram bounds, in microseconds.
const (
	leastMicros = 1
	mostMicros  = 3_600_000_000
	digits      = 3
)

func newLoad(c *client.Client, r api.CompletionRequest, timeout time.Duration) *load {
	l := &load{client: c, request: r, timeout: timeout}
	for range lengthClasses {
		l.classes = append(l.classes, classTally{
			firstToken: hdrhistogram.New(leastMicros, mostMicros, digits),
			outcomes:   map[api.Outcome]int{},
		})
	}
	return l
}

// run sends requests at random times of the given mean rate, and waits for
// all answers.
func (l *load) run(ctx context.Context, random *rand.Rand, rate float64, duration time.Duration, lengths bounds) {
	var sent sync.WaitGroup
	start := time.Now()
	shown := start
	for n := 1; time.Since(start) < duration && ctx.Err() == nil; n++ {
		class, tokens := drawLength(random, lengths)
		sent.Add(1)
		go func() {
			defer sent.Done()
			l.one(ctx, class, tokens)
		}()
		if time.Since(shown) > time.Second {
			shown = time.Now()
			_, _ = fmt.Fprintf(os.Stderr, "sent=%d elapsed=%s\n", n, time.Since(start).Round(time.Second))
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	sent.Wait()
}

func drawLength(random *rand.Rand, lengths bounds) (class, tokens int) {
	draw := random.IntN(100)
	for i, c := range lengthClasses {
		if draw < c.share || i == len(lengthClasses)-1 {
			return i, min(lengths.longest, max(lengths.shortest, c.low+random.IntN(c.high-c.low)))
		}
		draw -= c.share
	}
	return 0, lengthClasses[0].low
}

func (l *load) one(ctx context.Context, class, tokens int) {
	r := l.request
	r.Prompt = strings.Repeat(filler, tokens)
	result, err := l.client.Complete(ctx, r, client.Options{Timeout: l.timeout}, nil)
	outcome := api.OutcomeAnswered
	if err != nil {
		outcome = api.OutcomeUnknown
	}
	if refused, ok := asOutcome(err); ok {
		outcome = refused.Detail.Outcome
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	l.classes[class].outcomes[outcome]++
	if err == nil {
		_ = l.classes[class].firstToken.RecordValue(result.TimeToFirstToken.Microseconds())
	}
}

func (l *load) print() {
	_, _ = fmt.Printf("%-10s %8s %8s %8s %10s %10s %10s\n", "tokens", "answered", "not_run", "unknown", "p50_ms", "p95_ms", "p99_ms")
	for i, c := range lengthClasses {
		t := l.classes[i]
		_, _ = fmt.Printf("%-10s %8d %8d %8d %10.1f %10.1f %10.1f\n", c.name, t.outcomes[api.OutcomeAnswered], t.outcomes[api.OutcomeNotRun], t.outcomes[api.OutcomeUnknown],
			millis(t.firstToken, 50), millis(t.firstToken, 95), millis(t.firstToken, 99))
	}
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
