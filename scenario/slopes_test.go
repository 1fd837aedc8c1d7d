package scenario

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/standin/relay"
	"github.com/sapphireramp/sapphireramp/validator"
)

// carried counts the bytes that relays carry, by the address that connected.
var carried [256]atomic.Int64

// usage is what one process has used so far.
type usage struct {
	cpu time.Duration
	// resident is memory in bytes.
	resident int64
}

func usageOf(b *testing.B, p *process) usage {
	b.Helper()
	pid := p.running.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	const userField, systemField, residentField, ticksPerSecond = 11, 12, 21, 100
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	pages, _ := strconv.Atoi(fields[residentField])
	return usage{
		cpu:      time.Duration(user+system) * time.Second / ticksPerSecond,
		resident: int64(pages * os.Getpagesize()),
	}
}

func withBenchFleet(b *testing.B, options map[string]string, run func(*fleet)) {
	b.Helper()
	f := &fleet{dir: b.TempDir(), binaries: binaries, processes: map[string]*process{}, options: defaultOptions(), jobs: map[string]*job{}}
	for name, value := range options {
		f.options[name] = value
	}
	defer f.stop()
	if err := f.start(); err != nil {
		b.Fatal(err)
	}
	run(f)
}

// BenchmarkIdleEntry is what control costs an entry at rest, against how many
// entries and engines there are. The periods are those of the scenarios: ten
// heartbeats and polls a second, five listings.
func BenchmarkIdleEntry(b *testing.B) {
	for _, size := range [][2]int{{2, 2}, {7, 2}, {7, 14}, {7, 42}, {14, 14}, {28, 14}} {
		b.Run(fmt.Sprintf("entries=%d/engines=%d", size[0], size[1]), func(b *testing.B) {
			options := map[string]string{"entries": strconv.Itoa(size[0]), "engines": strconv.Itoa(size[1]), "strict": "false"}
			for range b.N {
				withBenchFleet(b, options, func(f *fleet) { measureControl(b, f) })
			}
		})
	}
}

// BenchmarkIdleEntryTargetTiming is the same with the periods of the target. What an
// entry sends then does not depend on how many entries there are.
func BenchmarkIdleEntryTargetTiming(b *testing.B) {
	for _, size := range [][2]int{{7, 1}, {7, 11}, {7, 42}} {
		b.Run(fmt.Sprintf("entries=%d/engines=%d", size[0], size[1]), func(b *testing.B) {
			options := map[string]string{
				"entries": strconv.Itoa(size[0]), "engines": strconv.Itoa(size[1]), "strict": "false",
				"timing": "target", "lease": "90s", "watch": "20s", "silence": "5s",
			}
			for range b.N {
				withBenchFleet(b, options, func(f *fleet) { measureControlFor(b, f, 30*time.Second) })
			}
		})
	}
}

func measureControl(b *testing.B, f *fleet) { measureControlFor(b, f, 8*time.Second) }

func measureControlFor(b *testing.B, f *fleet, period time.Duration) {
	var before []usage
	start := bytesCarried()
	entries := f.entryProcesses()
	for _, p := range entries {
		before = append(before, usageOf(b, p))
	}
	time.Sleep(period)
	var cpu time.Duration
	var resident int64
	for i, p := range entries {
		now := usageOf(b, p)
		cpu += now.cpu - before[i].cpu
		resident += now.resident
	}
	n := float64(len(entries))
	b.ReportMetric(100*cpu.Seconds()/period.Seconds()/n, "%core/entry")
	b.ReportMetric(float64(resident)/n/(1<<20), "MB-resident/entry")
	b.ReportMetric(float64(bytesCarried()-start)/period.Seconds()/n, "bytes/s/entry")
}

func bytesCarried() int64 {
	var sum int64
	for i := range carried {
		sum += carried[i].Load()
	}
	return sum
}

func countBytes(from netip.Addr, n int) {
	four := from.As4()
	carried[four[3]].Add(int64(n))
}

func (f *fleet) entryProcesses() []*process {
	var out []*process
	for _, name := range f.order {
		if strings.HasPrefix(name, "entry-") {
			out = append(out, f.processes[name])
		}
	}
	return out
}

// BenchmarkRelay is what relaying costs an entry: processor time for a token
// and for a prompt, and memory for a stream in flight.
func BenchmarkRelay(b *testing.B) {
	for _, load := range []struct {
		name   string
		rate   int
		tokens int
		prompt int
	}{{"short-answers", 100, 10, 1500}, {"long-answers", 100, 200, 1500}, {"long-prompts", 20, 10, 50_000}} {
		b.Run(load.name, func(b *testing.B) {
			options := map[string]string{
				"entries": "1", "engines": "4", "memory": "2000000", "prefill": "5000000", "token": "20ms", "in-flight": "5000", "strict": "false",
			}
			for range b.N {
				withBenchFleet(b, options, func(f *fleet) { measureRelay(b, f, load.rate, load.tokens, load.prompt) })
			}
		})
	}
}

func measureRelay(b *testing.B, f *fleet, rate, tokens, prompt int) {
	const seconds = 6
	p := f.entryProcesses()[0]
	idle := usageOf(b, p)
	time.Sleep(2 * time.Second)
	before := usageOf(b, p)
	control := (before.cpu - idle.cpu) / 2
	c := exec.Command(filepath.Join(binaries, "sapphireramp"), "load", "--direct", "--entry", p.front.String(), "--key", organisationKey,
		"--model", "model", "--rate", strconv.Itoa(rate), "--duration", fmt.Sprintf("%ds", seconds),
		"--shortest", strconv.Itoa(prompt), "--longest", strconv.Itoa(prompt), "--max-tokens", strconv.Itoa(tokens))
	peak := int64(0)
	done := make(chan error, 1)
	var out bytes.Buffer
	c.Stdout = &out
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	go func() { done <- c.Wait() }()
	for running := true; running; {
		select {
		case err := <-done:
			if err != nil {
				b.Fatal(err)
			}
			running = false
		case <-time.After(100 * time.Millisecond):
			peak = max(peak, usageOf(b, p).resident)
		}
	}
	used := usageOf(b, p).cpu - before.cpu - time.Duration(float64(control)*time.Since(start).Seconds())
	answered := answeredIn(out.String())
	b.ReportMetric(float64(answered), "answered")
	b.ReportMetric(float64(used.Microseconds())/float64(answered), "us-cpu/request")
	b.ReportMetric(float64(used.Microseconds())/float64(answered*tokens), "us-cpu/token")
	b.ReportMetric(float64(peak)/(1<<20), "MB-peak")
	b.ReportMetric(float64(before.resident)/(1<<20), "MB-before")
}

func answeredIn(table string) int {
	n := 0
	for line := range strings.Lines(table) {
		fields := strings.Fields(line)
		if len(fields) > 1 {
			v, _ := strconv.Atoi(fields[1])
			n += v
		}
	}
	return n
}

// BenchmarkLargeDocument is the memory of an entry that takes over a document
// of the target's size, at its peak and afterwards.
func BenchmarkLargeDocument(b *testing.B) {
	for range b.N {
		withBenchFleet(b, map[string]string{"entries": "2", "engines": "2", "strict": "false"}, func(f *fleet) {
			p := f.entryProcesses()[0]
			before := usageOf(b, p)
			for revision := 2; revision <= 6; revision++ {
				document := strings.Replace(f.document(revision, "large"), "Limits:", largePart(4300, 600)+"Limits:", 1)
				if err := f.put("/control/config", document); err != nil {
					b.Fatal(err)
				}
				awaitRevision(b, f, revision)
			}
			time.Sleep(2 * time.Second)
			after := usageOf(b, p)
			b.ReportMetric(float64(before.resident)/(1<<20), "MB-before")
			b.ReportMetric(float64(after.resident)/(1<<20), "MB-after")
			b.ReportMetric(float64(peakOf(b, p))/(1<<20), "MB-peak")
			b.ReportMetric(float64((after.cpu-before.cpu).Milliseconds())/5, "ms-cpu/change")
		})
	}
}

// largePart continues a document of the fleet with engines, and organisations
// behind a comment line that keeps the text's size.
func largePart(organisations, engines int) string {
	var out strings.Builder
	for i := range organisations {
		name := fmt.Sprintf("organisation-%d", i)
		fmt.Fprintf(&out, "  - {Name: %s, KeyDigest: %s, Models: [model], MaxInFlight: 100}\n", name, validator.Digest([]byte(name)))
	}
	for i := range engines {
		fmt.Fprintf(&out, "#  - {Name: large-%d, Model: model, Version: \"1\", Role: Mixed, MemoryTokens: 400000, PrefillRate: 20000, ChecksFences: true}\n", i)
	}
	return out.String()
}

func awaitRevision(b *testing.B, f *fleet, revision int) time.Duration {
	b.Helper()
	start := time.Now()
	for _, p := range f.entryProcesses() {
		for {
			var status api.Status
			err := getJSON("http://"+p.back.String()+api.PathStatus, &status)
			if err == nil && status.Revision == uint64(revision) {
				break
			}
			if time.Since(start) > 30*time.Second {
				b.Fatalf("revision %d is not in force at %s", revision, p.name)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(start)
}

func peakOf(b *testing.B, p *process) int64 {
	b.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.running.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// BenchmarkDocumentPropagation is how long a change takes to be in force at 7 entries,
// with the platform up, and with only one of them able to reach it; and the
// platform calls a second meanwhile.
func BenchmarkDocumentPropagation(b *testing.B) {
	for _, way := range []string{"all-reach", "one-reaches"} {
		b.Run(way, func(b *testing.B) {
			for range b.N {
				withBenchFleet(b, map[string]string{"entries": "7", "engines": "1", "watch": "20s", "strict": "false"}, func(f *fleet) {
					measureInForce(b, f, way)
				})
			}
		})
	}
}

func measureInForce(b *testing.B, f *fleet, way string) {
	const changes = 10
	if way == "one-reaches" {
		for i, p := range f.entryProcesses() {
			if i > 0 {
				f.processes["platform"].relays[0].Set(p.front.Addr(), relay.Stall)
			}
		}
	}
	calls := platformCalls(b, f)
	start := time.Now()
	var worst, sum time.Duration
	for revision := 2; revision < 2+changes; revision++ {
		if err := f.put("/control/config", f.document(revision, "")); err != nil {
			b.Fatal(err)
		}
		took := awaitRevision(b, f, revision)
		worst, sum = max(worst, took), sum+took
		time.Sleep(300 * time.Millisecond)
	}
	b.ReportMetric(float64(sum.Milliseconds())/changes, "ms-mean")
	b.ReportMetric(float64(worst.Milliseconds()), "ms-worst")
	b.ReportMetric(float64(platformCalls(b, f)-calls)/time.Since(start).Seconds(), "platform-calls/s")
}

func platformCalls(b *testing.B, f *fleet) int {
	b.Helper()
	text, err := httpGet("http://" + f.processes["platform"].back.String() + "/control/calls")
	if err != nil {
		b.Fatal(err)
	}
	n, _ := strconv.Atoi(strings.TrimSpace(text))
	return n
}
