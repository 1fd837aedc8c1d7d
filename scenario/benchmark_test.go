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

// relayedBytesByHost counts the bytes that relays forward in either direction, by
// the last byte of the IP address that opened the connection.
var relayedBytesByHost [256]atomic.Int64

// resourceUsage is the processor time and memory of one process.
type resourceUsage struct {
	// cpu is user and system time since the start of the process.
	cpu time.Duration
	// resident is the resident memory in bytes.
	resident int64
}

// readUsage reads the resource usage of a process from /proc.
func readUsage(b *testing.B, p *process) resourceUsage {
	b.Helper()
	pid := p.cmd.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	const userField, systemField, residentField, ticksPerSecond = 11, 12, 21, 100
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	pages, _ := strconv.Atoi(fields[residentField])
	return resourceUsage{
		cpu:      time.Duration(user+system) * time.Second / ticksPerSecond,
		resident: int64(pages * os.Getpagesize()),
	}
}

// withBenchFleet calls run with a started fleet and stops the fleet afterwards.
func withBenchFleet(b *testing.B, options map[string]string, run func(*fleet)) {
	b.Helper()
	f := newFleet(b.TempDir())
	for name, value := range options {
		f.options[name] = value
	}
	defer f.stopAll()
	if err := f.startAll(); err != nil {
		b.Fatal(err)
	}
	run(f)
}

// BenchmarkIdleEntry measures the resource usage of an entry without requests, by
// the number of entries and engines: processor time, memory, and bytes relayed for
// heartbeats, load reports and listings of holds. It uses the timing profile of the
// scripts: ten heartbeats, ten load reports and five listings a second.
func BenchmarkIdleEntry(b *testing.B) {
	for _, size := range [][2]int{{2, 2}, {7, 2}, {7, 14}, {7, 42}, {14, 14}, {28, 14}} {
		b.Run(fmt.Sprintf("entries=%d/engines=%d", size[0], size[1]), func(b *testing.B) {
			options := map[string]string{"entries": strconv.Itoa(size[0]), "engines": strconv.Itoa(size[1]), "strict": "false"}
			for range b.N {
				withBenchFleet(b, options, func(f *fleet) { measureIdleEntries(b, f) })
			}
		})
	}
}

// BenchmarkIdleEntryTargetTiming measures the resource usage of an entry without
// requests with the timing profile "target". In this profile an entry sends
// heartbeats to three neighbours, whatever the number of entries.
func BenchmarkIdleEntryTargetTiming(b *testing.B) {
	for _, size := range [][2]int{{7, 1}, {7, 11}, {7, 42}} {
		b.Run(fmt.Sprintf("entries=%d/engines=%d", size[0], size[1]), func(b *testing.B) {
			options := map[string]string{
				"entries": strconv.Itoa(size[0]), "engines": strconv.Itoa(size[1]), "strict": "false",
				"timing": "target", "lease": "90s", "watch": "20s", "silence": "5s",
			}
			for range b.N {
				withBenchFleet(b, options, func(f *fleet) { measureIdleEntriesFor(b, f, 30*time.Second) })
			}
		})
	}
}

// measureIdleEntries measures the entries of a fleet over 8 s.
func measureIdleEntries(b *testing.B, f *fleet) { measureIdleEntriesFor(b, f, 8*time.Second) }

// measureIdleEntriesFor reports the mean resource usage of an entry over a period:
// percent of a core, resident megabytes, and relayed bytes per second.
func measureIdleEntriesFor(b *testing.B, f *fleet, period time.Duration) {
	var before []resourceUsage
	bytesBefore := totalRelayedBytes()
	entries := f.entryProcesses()
	for _, p := range entries {
		before = append(before, readUsage(b, p))
	}
	time.Sleep(period)
	var cpu time.Duration
	var resident int64
	for i, p := range entries {
		after := readUsage(b, p)
		cpu += after.cpu - before[i].cpu
		resident += after.resident
	}
	n := float64(len(entries))
	b.ReportMetric(100*cpu.Seconds()/period.Seconds()/n, "%core/entry")
	b.ReportMetric(float64(resident)/n/(1<<20), "MB-resident/entry")
	b.ReportMetric(float64(totalRelayedBytes()-bytesBefore)/period.Seconds()/n, "bytes/s/entry")
}

// totalRelayedBytes returns the number of bytes that all relays have forwarded.
func totalRelayedBytes() int64 {
	var sum int64
	for i := range relayedBytesByHost {
		sum += relayedBytesByHost[i].Load()
	}
	return sum
}

// countRelayedBytes adds n bytes to the count of the address that opened the
// connection.
func countRelayedBytes(from netip.Addr, n int) {
	octets := from.As4()
	relayedBytesByHost[octets[3]].Add(int64(n))
}

// entryProcesses returns the entries of the fleet in the order of their start.
func (f *fleet) entryProcesses() []*process {
	var out []*process
	for _, name := range f.startOrder {
		if strings.HasPrefix(name, "entry-") {
			out = append(out, f.processes[name])
		}
	}
	return out
}

// BenchmarkRelay measures the resource usage of an entry that relays streams from
// engines to callers: processor time per request and per token, and peak memory.
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

// measureRelay sends rate requests a second to the only entry for 6 s. It reports
// the entry's processor time beyond that of an idle entry, and its memory. prompt and
// tokens are the lengths of each prompt and answer in tokens.
func measureRelay(b *testing.B, f *fleet, rate, tokens, prompt int) {
	const seconds = 6
	entry := f.entryProcesses()[0]
	idle := readUsage(b, entry)
	time.Sleep(2 * time.Second)
	before := readUsage(b, entry)
	idleCPU := (before.cpu - idle.cpu) / 2
	loadCommand := exec.Command(filepath.Join(binaries, "sapphireramp"), "load", "--direct", "--entry", entry.address.String(), "--key", organisationKey,
		"--model", "model", "--rate", strconv.Itoa(rate), "--duration", fmt.Sprintf("%ds", seconds),
		"--shortest", strconv.Itoa(prompt), "--longest", strconv.Itoa(prompt), "--max-tokens", strconv.Itoa(tokens))
	peak := int64(0)
	done := make(chan error, 1)
	var out bytes.Buffer
	loadCommand.Stdout = &out
	if err := loadCommand.Start(); err != nil {
		b.Fatal(err)
	}
	start := time.Now()
	go func() { done <- loadCommand.Wait() }()
	for running := true; running; {
		select {
		case err := <-done:
			if err != nil {
				b.Fatal(err)
			}
			running = false
		case <-time.After(100 * time.Millisecond):
			peak = max(peak, readUsage(b, entry).resident)
		}
	}
	usedCPU := readUsage(b, entry).cpu - before.cpu - time.Duration(float64(idleCPU)*time.Since(start).Seconds())
	answered := sumAnswered(out.String())
	b.ReportMetric(float64(answered), "answered")
	b.ReportMetric(float64(usedCPU.Microseconds())/float64(answered), "us-cpu/request")
	b.ReportMetric(float64(usedCPU.Microseconds())/float64(answered*tokens), "us-cpu/token")
	b.ReportMetric(float64(peak)/(1<<20), "MB-peak")
	b.ReportMetric(float64(before.resident)/(1<<20), "MB-before")
}

// sumAnswered adds up the second column of the load command's table, the number
// of answered requests in each class.
func sumAnswered(table string) int {
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

// BenchmarkLargeDocument measures an entry that puts five large documents into
// force, one after the other: the resident memory before, at the peak and afterwards,
// and the processor time per document. The documents have the target size: 4300
// organisations and 600 engines.
func BenchmarkLargeDocument(b *testing.B) {
	for range b.N {
		withBenchFleet(b, map[string]string{"entries": "2", "engines": "2", "strict": "false"}, func(f *fleet) {
			p := f.entryProcesses()[0]
			before := readUsage(b, p)
			for revision := 2; revision <= 6; revision++ {
				document := strings.Replace(f.configDocument(revision, "large"), "Limits:", largeDocumentSection(4300, 600)+"Limits:", 1)
				if err := f.putToPlatform("/control/config", document); err != nil {
					b.Fatal(err)
				}
				awaitRevisionInForce(b, f, revision)
			}
			time.Sleep(2 * time.Second)
			after := readUsage(b, p)
			b.ReportMetric(float64(before.resident)/(1<<20), "MB-before")
			b.ReportMetric(float64(after.resident)/(1<<20), "MB-after")
			b.ReportMetric(float64(readPeakResident(b, p))/(1<<20), "MB-peak")
			b.ReportMetric(float64((after.cpu-before.cpu).Milliseconds())/5, "ms-cpu/change")
		})
	}
}

// largeDocumentSection returns text to insert into a document after its
// organisations: more organisations, and engines as comment lines. The comments give
// the document its full size without listing engines that do not exist.
func largeDocumentSection(organisations, engines int) string {
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

// awaitRevisionInForce waits up to 30 s until a revision is in force at every
// entry and returns how long that took.
func awaitRevisionInForce(b *testing.B, f *fleet, revision int) time.Duration {
	b.Helper()
	began := time.Now()
	for _, p := range f.entryProcesses() {
		for {
			var status api.Status
			err := getJSON("http://"+p.listenAddress.String()+api.PathStatus, &status)
			if err == nil && status.Revision == uint64(revision) {
				break
			}
			if time.Since(began) > 30*time.Second {
				b.Fatalf("revision %d is not in force at %s within 30 s", revision, p.name)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(began)
}

// readPeakResident returns the peak resident memory of a process in bytes, or 0 if
// /proc does not show it.
func readPeakResident(b *testing.B, p *process) int64 {
	b.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
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

// BenchmarkDocumentPropagation measures how long a published document takes to be
// in force at all of 7 entries, and the platform calls per second meanwhile: once
// while all entries reach the platform, and once while only one of them does.
func BenchmarkDocumentPropagation(b *testing.B) {
	for _, reachability := range []string{"all-reach", "one-reaches"} {
		b.Run(reachability, func(b *testing.B) {
			for range b.N {
				withBenchFleet(b, map[string]string{"entries": "7", "engines": "1", "watch": "20s", "strict": "false"}, func(f *fleet) {
					measurePropagation(b, f, reachability)
				})
			}
		})
	}
}

// measurePropagation publishes ten documents. It reports the mean and the longest
// time until a document was in force at every entry, and the platform calls per
// second. If reachability is "one-reaches", only the first entry reaches the platform.
func measurePropagation(b *testing.B, f *fleet, reachability string) {
	const changes = 10
	if reachability == "one-reaches" {
		for i, p := range f.entryProcesses() {
			if i > 0 {
				f.processes["platform"].relays[0].SetMode(p.address.Addr(), relay.ModeStall)
			}
		}
	}
	calls := platformCalls(b, f)
	start := time.Now()
	var longest, sum time.Duration
	for revision := 2; revision < 2+changes; revision++ {
		if err := f.putToPlatform("/control/config", f.configDocument(revision, "")); err != nil {
			b.Fatal(err)
		}
		elapsed := awaitRevisionInForce(b, f, revision)
		longest, sum = max(longest, elapsed), sum+elapsed
		time.Sleep(300 * time.Millisecond)
	}
	b.ReportMetric(float64(sum.Milliseconds())/changes, "ms-mean")
	b.ReportMetric(float64(longest.Milliseconds()), "ms-worst")
	b.ReportMetric(float64(platformCalls(b, f)-calls)/time.Since(start).Seconds(), "platform-calls/s")
}

// platformCalls returns the number of requests for the document or the instance list
// that the platform has received.
func platformCalls(b *testing.B, f *fleet) int {
	b.Helper()
	text, err := httpGet("http://" + f.processes["platform"].listenAddress.String() + "/control/calls")
	if err != nil {
		b.Fatal(err)
	}
	n, _ := strconv.Atoi(strings.TrimSpace(text))
	return n
}
