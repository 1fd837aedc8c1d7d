package validator

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// makeBenchDocument returns a valid document with the given numbers of
// organisations and engines.
func makeBenchDocument(organisations, engines int) []byte {
	var b strings.Builder
	b.WriteString("Revision: 1\nModels:\n")
	for i := range 4 {
		fmt.Fprintf(&b, "  - {Name: model-%d, Versions: [\"1\"]}\n", i)
	}
	b.WriteString("Limits: {MaxPromptTokens: 1000000, MaxNewTokens: 10000, MaxTimeout: 5m, DefaultTimeout: 30s, MaxGroup: 4, MaxInFlight: 500}\nPolicy: {ShortTokens: 4000, ShortWeight: 5}\nOrganisations:\n")
	for i := range organisations {
		name := fmt.Sprintf("organisation-%d", i)
		fmt.Fprintf(&b, "  - {Name: %s, KeyDigest: %s, Models: [model-0, model-%d], MaxInFlight: 100}\n", name, Digest([]byte(name)), 1+i%3)
	}
	b.WriteString("Engines:\n")
	for i := range engines {
		fmt.Fprintf(&b, "  - {Name: engine-%d, Model: model-%d, Version: \"1\", Role: Mixed, MemoryTokens: 400000, PrefillRate: 20000, ChecksFences: true, ChecksOrders: false}\n", i, i%4)
	}
	return []byte(b.String())
}

// BenchmarkParse measures the time to parse a document, which entries do after
// each change of the configuration. It reports the memory that the parsed
// document occupies as kept-bytes.
func BenchmarkParse(b *testing.B) {
	for _, size := range [][2]int{{10, 14}, {430, 60}, {4300, 14}, {4300, 600}} {
		b.Run(fmt.Sprintf("organisations=%d/engines=%d", size[0], size[1]), func(b *testing.B) {
			data := makeBenchDocument(size[0], size[1])
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			parsed, err := Parse(data)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				if _, err := Parse(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "document-bytes")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "kept-bytes")
			runtime.KeepAlive(parsed)
		})
	}
}
