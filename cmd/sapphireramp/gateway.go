package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/asserter"
	"github.com/sapphireramp/sapphireramp/budgeter"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/controller"
	"github.com/sapphireramp/sapphireramp/launcher"
	"github.com/sapphireramp/sapphireramp/logger"
	"github.com/sapphireramp/sapphireramp/meter"
	"github.com/sapphireramp/sapphireramp/platform"
)

// addressTTL is how long callers may cache a list of entry addresses from the directory, unless
// platform.Settings.MaxAddressTTL is shorter. It is short, so that callers soon stop using an entry that
// shuts down, and long compared with the milliseconds that a directory request takes.
const addressTTL = time.Second

// leasePercent limits the lease of reserved engine memory, in percent of
// platform.Settings.MaxReservedAfterUse, the longest time for which memory may stay reserved after the last
// request that used it. It is below 100 because an entry that crashes can't release memory: the lease must
// end by itself within that time.
const leasePercent = 80

// storeDialTimeout bounds the time for connecting to the store; calls to it have shorter timeouts. storeIdleTimeout is the
// time after which an idle connection to it is closed.
const storeDialTimeout, storeIdleTimeout = 5 * time.Second, 90 * time.Second

func gatewayCommand() command {
	flags := newCommand("gateway", "run an entry on the users' platform; the environment variable "+platform.SettingsPathVariable+" gives its settings file")
	metricsPort := uint16(0)
	level := "info"
	flags.UInt16(&metricsPort, "m", "metrics-port", "port that serves the metrics; 0 serves none")
	flags.String(&level, "l", "log-level", "minimum level of logged lines: debug, info, warn or error")
	return command{flags: flags, run: func(ctx context.Context) error {
		settings, err := platform.LoadSettings()
		if err != nil {
			return err
		}
		return runGateway(ctx, settings, metricsPort, level)
	}}
}

// runGateway runs an entry on the users' platform until ctx is done and the entry has shut down, or until it
// fails. It serves metrics on metricsPort of the entry's caller address, or none if the port is 0. SIGHUP
// reloads the settings file.
func runGateway(ctx context.Context, settings platform.Settings, metricsPort uint16, level string) error {
	logQueue := logger.NewQueue(os.Stdout)
	defer func() { _ = logQueue.Close() }()
	logs, err := logger.New(logger.Config{Level: level, Output: logQueue, WarnOutput: logQueue.WarningWriter()})
	if err != nil {
		return fmt.Errorf("create loggers: %w", err)
	}
	log := logs.Layer(logger.LayerEntry)
	metrics := meter.New()
	defer func() { _ = metrics.Close() }()
	invariants := asserter.New(func(name, detail string) {
		log.Error("invariant_violated", zap.String("invariant", name), zap.String("detail", detail))
	})
	account := accountant.New(accountant.LimitFor(settings.MemoryLimit))
	store := platform.NewStore(newStoreClient(), settings.StoreAddress, account)
	config := launcher.Config{
		Name: settings.Name, DataCentre: settings.DataCentre, Regions: settings.Regions, CallerAddress: settings.CallerAddress, ReadinessAddress: settings.ReadinessAddress,
		PeerAddress: settings.PeerAddress, DirectoryAddress: settings.DirectoryAddress, LoadAddress: settings.LoadAddress,
		AddressTTL: min(addressTTL, settings.MaxAddressTTL), Settings: reloadableSettings(settings),
		ReadSettings: func() (launcher.Settings, error) {
			s, err := platform.LoadSettings()
			return reloadableSettings(s), err
		},
		SetStoreAddress: store.SetAddress,
		Store:           controller.Store{Read: store.Read, Watch: store.Watch, DecodeConfig: settings.DecodeConfig},
		Protocol:        platform.Protocol(), NewReservationClient: platform.NewReservationClient,
		MaxPropagation:    settings.MaxPropagation,
		RegistrationLease: settings.RegistrationLease, RenewalInterval: settings.RenewalInterval,
		IsFirstStart:     settings.IsFirstStart,
		Speed:            settings.Speed,
		MaxIdle:          settings.MaxIdle,
		ReservationTTL:   min(settings.MaxReservationTTL, settings.MaxReservedAfterUse*leasePercent/100),
		DirectoryHandler: platform.DirectoryHandler, ReadinessHandler: platform.ReadinessHandler,
		Account: account, SetHeapLimit: func(bytes int64) { debug.SetMemoryLimit(bytes) },
		Log: log, Scope: metrics.Scope, MetricsHandler: metrics.Handler, Asserter: invariants,
	}
	if metricsPort > 0 {
		config.MetricsAddress = netip.AddrPortFrom(settings.CallerAddress.Addr(), metricsPort)
	}
	reload := make(chan struct{}, 1)
	go forwardReloadSignals(reload)
	return launcher.New(config).Run(ctx, reload)
}

// newStoreClient returns the HTTP client for the platform's store.
func newStoreClient() *http.Client {
	return &http.Client{Transport: connector.NewTransport(&http.Transport{
		DialContext:        (&net.Dialer{Timeout: storeDialTimeout}).DialContext,
		IdleConnTimeout:    storeIdleTimeout,
		DisableCompression: true,
	}, nil)}
}

// reloadableSettings returns the settings that may change while the entry runs, in the launcher's form.
func reloadableSettings(settings platform.Settings) launcher.Settings {
	return launcher.Settings{
		Seeds: settings.Seeds, ShutdownGrace: settings.ShutdownGrace, StoreAddress: settings.StoreAddress, MemoryLimit: settings.MemoryLimit, MaxDescriptors: settings.MaxDescriptors,
		RetryBudget: budgeter.Config{Ratio: settings.RetryRatio, Window: settings.RetryWindow, BaseRetries: settings.RetrySlack},
	}
}

// forwardReloadSignals sends a value to reload when the process receives SIGHUP. A signal that arrives while
// an earlier value has not been received yet is dropped, as one reload covers both. It never returns.
func forwardReloadSignals(reload chan<- struct{}) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		select {
		case reload <- struct{}{}:
		default:
		}
	}
}
