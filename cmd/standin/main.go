// Command standin runs a stand-in for a model engine, a plain service or the
// platform. It is for tests and the demo; the product never uses it.
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

// program is one stand-in, ready to be served.
type program struct {
	handler http.Handler
	// run works beside the server until the context ends.
	run func(context.Context)
	// drain returns when the program may exit.
	drain func(context.Context)
}

func main() {
	if err := start(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func start() error {
	flaggy.SetName("standin")
	flaggy.SetDescription("stand-ins for engines, services and the platform")
	address := "127.0.0.1:0"

	engineConfig := engine.Config{
		Name: "engine", Incarnation: uint64(time.Now().UnixMilli()), Model: "model", Version: "1", Role: "Mixed",
		MemoryTokens: 400_000, PrefillRate: 200_000, TokenTime: 5 * time.Millisecond,
		ReportLag: 300 * time.Millisecond, WeightLoadTime: 500 * time.Millisecond, MaxCachedPrefixes: 64,
	}
	crossed, adapters, issuers := false, "", ""
	engineCommand := flaggy.NewSubcommand("engine")
	engineCommand.String(&address, "a", "address", "IP:port to listen on")
	engineCommand.String(&engineConfig.Name, "n", "name", "name")
	engineCommand.String(&engineConfig.Model, "m", "model", "model loaded at the start")
	engineCommand.String(&engineConfig.Version, "", "model-version", "version loaded at the start")
	engineCommand.String(&adapters, "", "adapters", "adapters loaded at the start, separated by commas")
	engineCommand.String(&engineConfig.Role, "", "role", "role at the start")
	engineCommand.Int(&engineConfig.MemoryTokens, "", "memory", "KV memory in tokens")
	engineCommand.Int(&engineConfig.PrefillRate, "", "prefill-rate", "prompt tokens a second")
	engineCommand.Duration(&engineConfig.TokenTime, "", "token-time", "time of one answer token")
	engineCommand.Duration(&engineConfig.ReportLag, "", "report-lag", "age of the load report")
	engineCommand.Duration(&engineConfig.WeightLoadTime, "", "load-time", "time that an order takes")
	engineCommand.Bool(&engineConfig.ChecksFences, "", "checks-fences", "refuse an old fencing number")
	engineCommand.Bool(&engineConfig.ChecksOrders, "", "checks-orders", "check who orders")
	engineCommand.String(&issuers, "", "issuers", "who may order, separated by commas")
	engineCommand.Bool(&crossed, "", "crossed", "send chunks of other requests too")
	flaggy.AttachSubcommand(engineCommand, 1)

	serviceServer := &service.Server{Name: "service", Delay: 10 * time.Millisecond}
	serviceCommand := flaggy.NewSubcommand("service")
	serviceCommand.String(&address, "a", "address", "IP:port to listen on")
	serviceCommand.String(&serviceServer.Name, "n", "name", "name")
	serviceCommand.Duration(&serviceServer.Delay, "", "delay", "time that a call takes")
	flaggy.AttachSubcommand(serviceCommand, 1)

	var lag time.Duration
	configFile, listFile := "", ""
	platformCommand := flaggy.NewSubcommand("platform")
	platformCommand.String(&address, "a", "address", "IP:port to listen on")
	platformCommand.String(&configFile, "", "config", "file with the first document")
	platformCommand.String(&listFile, "", "instances", "file with the first instance list")
	platformCommand.Duration(&lag, "", "list-lag", "age of the instance list")
	flaggy.AttachSubcommand(platformCommand, 1)

	measure := newMeasure()
	flaggy.AttachSubcommand(measure.command, 1)
	flaggy.Parse()

	switch {
	case engineCommand.Used:
		engineConfig.Adapters, engineConfig.Issuers = split(adapters), split(issuers)
		s := engine.NewServer(engineConfig, crossed)
		return serve(address, program{handler: s.Handler(), run: s.Run, drain: s.Drain})
	case serviceCommand.Used:
		return serve(address, program{handler: serviceServer.Handler()})
	case platformCommand.Used:
		return servePlatform(address, lag, configFile, listFile)
	case measure.command.Used:
		return measure.run()
	}
	return fmt.Errorf("command: one of engine, service, platform, measure is needed")
}

func split(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func servePlatform(address string, lag time.Duration, configFile, listFile string) error {
	s := platform.New(lag)
	for file, list := range map[string]bool{configFile: false, listFile: true} {
		if file == "" {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("read what to publish: %w", err)
		}
		s.Publish(data, list)
	}
	return serve(address, program{handler: s.Handler()})
}

// serve runs the program until a signal, then drains it.
func serve(address string, p program) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	work, end := context.WithCancel(context.Background())
	defer end()
	if p.run != nil {
		go p.run(work)
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
	// A watch in progress is cut: the stand-in owes it nothing.
	short, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_ = server.Shutdown(short)
	return nil
}
