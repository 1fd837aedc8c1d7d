package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/console"
	"github.com/sapphireramp/sapphireramp/decoder"
	"github.com/sapphireramp/sapphireramp/logger"
	"github.com/sapphireramp/sapphireramp/sealer"
)

// consoleSettings are the settings of a console.
type consoleSettings struct {
	// Address is where operators connect.
	Address netip.AddrPort `yaml:"Address"`
	// Platform is where the document in force is read.
	Platform netip.AddrPort `yaml:"Platform"`
	// Entries are asked what is in force; any few will do.
	Entries []netip.AddrPort `yaml:"Entries"`
	// SealSeed is 32 random bytes in hex, the seed of the key that seals.
	SealSeed string `yaml:"SealSeed"`
}

// maxConsoleSettingsBytes is the largest file of a console's settings in bytes.
const maxConsoleSettingsBytes = 64 << 10

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
	_, err = sealer.ParseSeed(settings.SealSeed)
	fieldErrors.Require(err == nil, "SealSeed", "(not shown)", "32 bytes in hex")
	return settings, fieldErrors.Err()
}

func consoleCommand() command {
	flags := newCommand("console", "serve the operators' forms")
	settingsFile, printKey := "", false
	flags.String(&settingsFile, "s", "settings", "settings file (YAML)")
	flags.Bool(&printKey, "", "print-key", "print the public key for the entries' SealKeys, and end")
	return command{flags: flags, run: func(ctx context.Context) error {
		if settingsFile == "" {
			return fmt.Errorf("--settings: a file is needed")
		}
		settings, err := loadConsoleSettings(settingsFile)
		if err != nil {
			return err
		}
		if printKey {
			key, _ := sealer.ParseSeed(settings.SealSeed)
			_, err := fmt.Println(sealer.FormatPublicKey(key))
			return err
		}
		return runConsole(ctx, settings)
	}}
}

// consoleTimeout bounds the reading of a form and the writing of a page.
const consoleTimeout = 30 * time.Second

func runConsole(ctx context.Context, settings consoleSettings) error {
	logs, err := logger.New(logger.Config{Level: "info", Output: os.Stderr})
	if err != nil {
		return fmt.Errorf("make loggers: %w", err)
	}
	log := logs.Layer(logger.Document)
	key, err := sealer.ParseSeed(settings.SealSeed)
	if err != nil {
		return fmt.Errorf("seal seed: %w", err)
	}
	c, err := console.New(console.Config{Platform: settings.Platform, Entries: settings.Entries, SealingKey: key, HTTPClient: &http.Client{}, Log: log})
	if err != nil {
		return fmt.Errorf("make console: %w", err)
	}
	httpServer := &http.Server{Addr: settings.Address.String(), Handler: c.Handler(), ReadTimeout: consoleTimeout, WriteTimeout: consoleTimeout}
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- httpServer.ListenAndServe() }()
	log.Info("console", zap.Stringer("address", settings.Address), zap.String("seal_key", sealer.FormatPublicKey(key)))
	select {
	case err := <-serveErrors:
		return fmt.Errorf("serve console: %w", err)
	case <-ctx.Done():
	}
	err = httpServer.Shutdown(context.WithoutCancel(ctx))
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("stop console: %w", err)
	}
	return nil
}
