// Command standin runs an emulated model engine, plain service or platform, or
// measures routing policies in simulated time. It is for tests and the demo; the
// product never uses it.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/sapphireramp/sapphireramp/standin/engine"
	"github.com/sapphireramp/sapphireramp/standin/platform"
	"github.com/sapphireramp/sapphireramp/standin/service"
)

// standIn is an emulated engine, service or platform that serve can run.
type standIn struct {
	handler http.Handler
	// runBackground does the emulated work that goes on between HTTP requests, such
	// as an engine's prefill and decoding, until its context ends; nil if there is
	// none.
	runBackground func(context.Context)
	// drain waits until the work in progress has ended or its context ends. It is
	// called before the process exits; nil if there is nothing to wait for.
	drain func(context.Context)
}

func main() {
	if err := runCommand(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// runCommand parses the command line and runs the subcommand until it ends or a
// signal stops it.
func runCommand() error {
	flaggy.SetName("standin")
	flaggy.SetDescription("emulates engines, services and the platform")
	address := "127.0.0.1:0"

	engineConfig := engine.Config{
		Name: "engine", Incarnation: uint64(time.Now().UnixMilli()), Model: "model", Version: "1", Role: "Mixed",
		MemoryTokens: 400_000, PrefillRate: 200_000, TokenTime: 5 * time.Millisecond,
		ReportLag: 300 * time.Millisecond, WeightLoadTime: 500 * time.Millisecond, MaxCachedPrefixes: 64,
	}
	sendsStrayChunks, adapters, issuers := false, "", ""
	engineCommand := flaggy.NewSubcommand("engine")
	engineCommand.String(&address, "a", "address", "IP:port to listen on")
	engineCommand.String(&engineConfig.Name, "n", "name", "name")
	engineCommand.String(&engineConfig.Model, "m", "model", "model loaded at the start")
	engineCommand.String(&engineConfig.Version, "", "model-version", "version loaded at the start")
	engineCommand.String(&adapters, "", "adapters", "adapters loaded at the start, separated by commas")
	engineCommand.String(&engineConfig.Role, "", "role", "role at the start")
	engineCommand.Int(&engineConfig.MemoryTokens, "", "memory", "KV memory in tokens")
	engineCommand.Int(&engineConfig.PrefillRate, "", "prefill-rate", "prompt tokens prefilled a second")
	engineCommand.Duration(&engineConfig.TokenTime, "", "token-time", "duration of one decoding step, a token for each stream")
	engineCommand.Duration(&engineConfig.ReportLag, "", "report-lag", "age of the load report")
	engineCommand.Duration(&engineConfig.WeightLoadTime, "", "load-time", "time from an order until it takes effect")
	engineCommand.Bool(&engineConfig.ChecksFences, "", "checks-fences", "refuse orders whose fence is not higher than the current one")
	engineCommand.Bool(&engineConfig.ChecksOrders, "", "checks-orders", "refuse orders of issuers not in --issuers")
	engineCommand.String(&issuers, "", "issuers", "issuers whose orders are accepted, separated by commas")
	engineCommand.Bool(&sendsStrayChunks, "", "crossed", "add chunks of other requests and attempts to every stream")
	flaggy.AttachSubcommand(engineCommand, 1)

	serviceServer := &service.Server{Name: "service", Delay: 10 * time.Millisecond}
	serviceCommand := flaggy.NewSubcommand("service")
	serviceCommand.String(&address, "a", "address", "IP:port to listen on")
	serviceCommand.String(&serviceServer.Name, "n", "name", "name")
	serviceCommand.Duration(&serviceServer.Delay, "", "delay", "time from a call to its answer")
	flaggy.AttachSubcommand(serviceCommand, 1)

	var listLag time.Duration
	configFile, listFile := "", ""
	platformCommand := flaggy.NewSubcommand("platform")
	platformCommand.String(&address, "a", "address", "IP:port to listen on")
	platformCommand.String(&configFile, "", "config", "file with the configuration document to publish at the start")
	platformCommand.String(&listFile, "", "instances", "file with the instance list to publish at the start")
	platformCommand.Duration(&listLag, "", "list-lag", "age at which a published instance list becomes visible")
	flaggy.AttachSubcommand(platformCommand, 1)

	measure := newMeasureCommand()
	flaggy.AttachSubcommand(measure.subcommand, 1)
	flaggy.Parse()

	switch {
	case engineCommand.Used:
		engineConfig.Adapters, engineConfig.Issuers = splitList(adapters), splitList(issuers)
		server := engine.NewServer(engineConfig, sendsStrayChunks)
		return serve(address, standIn{handler: server.Handler(), runBackground: server.Run, drain: server.Drain})
	case serviceCommand.Used:
		return serve(address, standIn{handler: serviceServer.Handler()})
	case platformCommand.Used:
		return servePlatform(address, listLag, configFile, listFile)
	case measure.subcommand.Used:
		return measure.run()
	}
	return fmt.Errorf("no subcommand given: use engine, service, platform or measure")
}

// splitList splits a list at commas. An empty text is an empty list.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// servePlatform serves an emulated platform that publishes the contents of
// configFile and listFile at the start. The value of an empty file name is not
// published.
func servePlatform(address string, listLag time.Duration, configFile, listFile string) error {
	server := platform.New(listLag)
	for file, list := range map[string]bool{configFile: false, listFile: true} {
		if file == "" {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read the document or instance list to publish: %w", err)
		}
		server.Publish(data, list)
	}
	return serve(address, standIn{handler: server.Handler()})
}

// serve serves p at address until SIGTERM or SIGINT, drains p and closes the
// server. It returns an error if it can't listen.
func serve(address string, p standIn) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	backgroundContext, cancelBackground := context.WithCancel(context.Background())
	defer cancelBackground()
	if p.runBackground != nil {
		go p.runBackground(backgroundContext)
	}
	server := &http.Server{Addr: address, Handler: p.handler}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return fmt.Errorf("listen: %w", err)
	case <-ctx.Done():
	}
	if p.drain != nil {
		p.drain(context.Background())
	}
	// Reads that wait for a change of the platform's values are cut off after
	// 200 ms: an emulated platform need not finish them.
	shutdownContext, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_ = server.Shutdown(shutdownContext)
	return nil
}
