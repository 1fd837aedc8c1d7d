package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/sapphireramp/sapphireramp/router"
	"github.com/sapphireramp/sapphireramp/standin/measurer"
)

// measureCommand is the subcommand measure, with the values of its flags. It
// simulates deployments under load and prints latencies and goodput for each
// routing policy.
type measureCommand struct {
	subcommand *flaggy.Subcommand
	// deployments lists names of measurer.Deployments, separated by commas.
	deployments string
	// policies lists names of measurer.Policies, separated by commas; empty means
	// all.
	policies string
	// loads lists the rates of prompt tokens to simulate, as fractions of the
	// engines' prefill rate, separated by commas.
	loads string
	// fault is the measurer.Fault to inject; empty means none. It is ignored if
	// burst is set.
	fault string
	// seed determines the random requests and the random choices of policies.
	seed uint64
	// full prints a table of all length classes for each policy, instead of a line.
	full bool
	// burst measures the recovery from a burst instead. The rates are then fixed,
	// and the values of loads have no effect.
	burst bool
}

// newMeasureCommand returns the subcommand measure with its flags defined.
func newMeasureCommand() *measureCommand {
	m := &measureCommand{subcommand: flaggy.NewSubcommand("measure"), deployments: "condor,zeekant", loads: "0.8", seed: 1}
	m.subcommand.Description = "measure routing policies in simulated time"
	m.subcommand.String(&m.deployments, "d", "deployments", "condor or zeekant, or both, separated by commas")
	m.subcommand.String(&m.policies, "p", "policies", "names of policies, separated by commas; empty means all")
	m.subcommand.String(&m.loads, "l", "loads", "fractions of the engines' prefill capacity, separated by commas")
	m.subcommand.String(&m.fault, "f", "fault", "dead-engine, slow-engine, lagged-load, cut-centre, or none")
	m.subcommand.UInt64(&m.seed, "s", "seed", "seed of the random requests")
	m.subcommand.Bool(&m.full, "", "full", "print a table of all classes for each policy")
	m.subcommand.Bool(&m.burst, "", "burst", "measure the recovery from a minute at twice the engines' capacity")
	return m
}

// run measures every deployment at every load. It returns an error if deployments
// or loads has an invalid value, after printing the results for the values before
// it.
func (m *measureCommand) run() error {
	for name := range strings.SplitSeq(m.deployments, ",") {
		d, ok := measurer.Deployments[name]
		if !ok {
			return fmt.Errorf("--deployments: %q must be condor or zeekant", name)
		}
		for text := range strings.SplitSeq(m.loads, ",") {
			load, err := strconv.ParseFloat(text, 64)
			if err != nil || load <= 0 || load > 10 {
				return fmt.Errorf("--loads: %q must be a number above 0 and at most 10", text)
			}
			m.comparePolicies(d, load)
		}
	}
	return nil
}

// comparePolicies simulates deployment d at a load for each policy and prints a
// line, or with --full a table. The line also compares the time to first token of
// short prompts with that in a second simulation without the two longest classes.
// With --burst, comparePolicies measures the recovery instead.
func (m *measureCommand) comparePolicies(d measurer.Deployment, load float64) {
	fmt.Printf("deployment=%s load=%.2f fault=%q seed=%d\n", d.Name, load, m.fault, m.seed)
	if m.burst {
		m.measureRecovery(d)
		return
	}
	if !m.full {
		fmt.Printf("  %-30s %9s %9s %9s %9s %9s %8s %8s %8s %9s\n", "policy", "short_p95", "alone_p95", "slowdown", "long_p95", "1M_p95", "answered", "refused", "late", "goodput")
	}
	for _, p := range measurer.Policies {
		if m.policies != "" && !listContains(m.policies, p.Name) {
			continue
		}
		o := p.Options
		o.Fault = measurer.Fault(m.fault)
		r := measurer.Run(d, o, load, true, m.seed)
		if m.full {
			r.Print(os.Stdout, p.Name)
			continue
		}
		alone := measurer.Run(d, o, load, false, m.seed).FirstTokenQuantile(router.Short, 95)
		short := r.FirstTokenQuantile(router.Short, 95)
		answered, refused, late := 0, 0, 0
		for _, c := range r.Classes {
			answered, refused, late = answered+c.Answered, refused+c.Refused, late+c.Late
		}
		fmt.Printf("  %-30s %9.0f %9.0f %9.2f %9.0f %9.0f %8d %8d %8d %9.0f\n", p.Name, short, alone, short/alone,
			r.FirstTokenQuantile(router.Long, 95), r.FirstTokenQuantile(router.Longest, 95), answered, refused, late, r.Goodput)
	}
}

// measureRecovery simulates deployment d through a minute of overload, with callers
// that retry requests that were refused or late. It prints the results of every
// half minute for each policy.
func (m *measureCommand) measureRecovery(d measurer.Deployment) {
	const base, peak, retries = 0.7, 2.0, 5
	for _, p := range measurer.Policies {
		if m.policies != "" && !listContains(m.policies, p.Name) {
			continue
		}
		o := p.Options
		o.MaxRetries, o.HasRetryBudget = retries, p.Options.RefusesLate
		fmt.Printf("  %s: base %.1f, peak %.1f from 60 s to 120 s, up to %d retries, budget %t\n", p.Name, base, peak, retries, o.HasRetryBudget)
		for _, w := range measurer.RunBurst(d, o, base, peak, m.seed) {
			fmt.Printf("    from_s=%d sent=%d answered=%d refused=%d late=%d goodput=%.0f\n", int(w.Start.Seconds()), w.Sent, w.Answered, w.Refused, w.Late, w.Goodput)
		}
	}
}

// listContains reports whether a comma-separated list contains name.
func listContains(list, name string) bool {
	for item := range strings.SplitSeq(list, ",") {
		if item == name {
			return true
		}
	}
	return false
}
