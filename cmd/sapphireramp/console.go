package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/acceptor"
	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/connector"
	"github.com/sapphireramp/sapphireramp/console"
	"github.com/sapphireramp/sapphireramp/decoder"
	"github.com/sapphireramp/sapphireramp/logger"
	"github.com/sapphireramp/sapphireramp/sealer"
)

// consoleSettings is the content of the console's settings file.
type consoleSettings struct {
	// Address is the address on which the console listens for operators' browsers.
	Address netip.AddrPort `yaml:"Address"`
	// Platform is the address of the platform, which serves the published configuration document.
	Platform netip.AddrPort `yaml:"Platform"`
	// Entries are the addresses that some entries announce to callers; a few of the fleet are enough. The
	// console warns if the document in force at one of them is not the one that the platform serves. An empty
	// list disables the comparison.
	Entries []netip.AddrPort `yaml:"Entries"`
	// SealSeed is the seed of the Ed25519 private key that signs documents: 32 random bytes in hex.
	SealSeed string `yaml:"SealSeed"`
}

// maxConsoleSettingsBytes bounds the size of the console's settings file.
const maxConsoleSettingsBytes = 64 << 10

// loadConsoleSettings reads and checks the settings file at path. The error for invalid fields lists all of
// them, but never shows SealSeed.
func loadConsoleSettings(path string) (consoleSettings, error) {
	var settings consoleSettings
	data, err := os.ReadFile(path)
	if err != nil {
		return settings, fmt.Errorf("read settings: %w", err)
	}
	if err := decoder.Decode(data, maxConsoleSettingsBytes, &settings); err != nil {
		return settings, fmt.Errorf("read settings: %w", err)
	}
	var fieldErrors decoder.FieldErrors
	fieldErrors.Require(settings.Address.IsValid() && settings.Address.Port() != 0, "Address", settings.Address, "IP:port")
	fieldErrors.Require(settings.Platform.IsValid() && settings.Platform.Port() != 0, "Platform", settings.Platform, "IP:port")
	_, err = sealer.ParsePrivateKey(settings.SealSeed)
	fieldErrors.Require(err == nil, "SealSeed", "(not shown)", "32 bytes in hex")
	return settings, fieldErrors.Err()
}

func consoleCommand() command {
	flags := newCommand("console", "serve web forms to edit and seal the configuration document")
	settingsFile, printKey := "", false
	flags.String(&settingsFile, "s", "settings", "settings file (YAML)")
	flags.Bool(&printKey, "", "print-key", "print the public key for SealKeys in the settings of entries, and exit")
	return command{flags: flags, run: func(ctx context.Context) error {
		if settingsFile == "" {
			return fmt.Errorf("--settings: no file given")
		}
		settings, err := loadConsoleSettings(settingsFile)
		if err != nil {
			return err
		}
		if printKey {
			key, _ := sealer.ParsePrivateKey(settings.SealSeed)
			_, err := fmt.Println(sealer.PublicKeyHex(key))
			return err
		}
		return runConsole(ctx, settings)
	}}
}

// consoleTimeout is the time limit for reading a request and, separately, for handling it and writing the
// response.
const consoleTimeout = 30 * time.Second

// runConsole serves the console until ctx is done, and then returns once the requests in progress have ended.
// It returns an error if the console can't be created or served.
func runConsole(ctx context.Context, settings consoleSettings) error {
	logs, err := logger.New(logger.Config{Level: "info", Output: os.Stderr})
	if err != nil {
		return fmt.Errorf("create loggers: %w", err)
	}
	log := logs.Layer(logger.LayerDocument)
	key, err := sealer.ParsePrivateKey(settings.SealSeed)
	if err != nil {
		return fmt.Errorf("parse SealSeed: %w", err)
	}
	c, err := console.New(console.Config{Platform: settings.Platform, Entries: settings.Entries, SealingKey: key, HTTPClient: &http.Client{Transport: connector.DefaultTransport}, Log: log})
	if err != nil {
		return fmt.Errorf("create console: %w", err)
	}
	listener, err := net.Listen("tcp", settings.Address.String())
	if err != nil {
		return fmt.Errorf("serve console: %w", err)
	}
	httpServer := &http.Server{Handler: c.Handler(), ReadTimeout: consoleTimeout, WriteTimeout: consoleTimeout}
	connections := acceptor.New(acceptor.Config{
		Account: accountant.New(accountant.LimitFor(0)), Limits: func() acceptor.Limits { return acceptor.Limits{} }, Log: log, Scope: tally.NoopScope,
	})
	connections.Attach(httpServer)
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- httpServer.Serve(connections.Listen(listener, acceptor.Callers)) }()
	log.Info("console", zap.Stringer("address", settings.Address), zap.String("seal_key", sealer.PublicKeyHex(key)))
	select {
	case err := <-serveErrors:
		return fmt.Errorf("serve console: %w", err)
	case <-ctx.Done():
	}
	err = httpServer.Shutdown(context.WithoutCancel(ctx))
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shut down console: %w", err)
	}
	return nil
}
