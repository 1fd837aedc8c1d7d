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

// maxConsoleSettings is the largest file of a console's settings in bytes.
const maxConsoleSettings = 64 << 10

func loadConsoleSettings(path string) (consoleSettings, error) {
	var s consoleSettings
	data, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("read settings: %w", err)
	}
	if err := decoder.Decode(data, maxConsoleSettings, &s); err != nil {
		return s, fmt.Errorf("read settings: %w", err)
	}
	var faults decoder.FieldErrors
	faults.Require(s.Address.IsValid() && s.Address.Port() != 0, "Address", s.Address, "IP:port")
	faults.Require(s.Platform.IsValid() && s.Platform.Port() != 0, "Platform", s.Platform, "IP:port")
	_, err = sealer.ParseSeed(s.SealSeed)
	faults.Require(err == nil, "SealSeed", "(not shown)", "32 bytes in hex")
	return s, faults.Err()
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
		s, err := loadConsoleSettings(settingsFile)
		if err != nil {
			return err
		}
		if printKey {
			key, _ := sealer.ParseSeed(s.SealSeed)
			_, err := fmt.Println(sealer.FormatPublicKey(key))
			return err
		}
		return runConsole(ctx, s)
	}}
}

// consoleTimeout bounds the reading of a form and the writing of a page.
const consoleTimeout = 30 * time.Second

func runConsole(ctx context.Context, s consoleSettings) error {
	logs, err := logger.New(logger.Config{Level: "info", Output: os.Stderr})
	if err != nil {
		return fmt.Errorf("make loggers: %w", err)
	}
	log := logs.Layer(logger.Document)
	key, err := sealer.ParseSeed(s.SealSeed)
	if err != nil {
		return fmt.Errorf("seal seed: %w", err)
	}
	c, err := console.New(console.Config{Platform: s.Platform, Entries: s.Entries, SealingKey: key, HTTPClient: &http.Client{}, Log: log})
	if err != nil {
		return fmt.Errorf("make console: %w", err)
	}
	web := &http.Server{Addr: s.Address.String(), Handler: c.Handler(), ReadTimeout: consoleTimeout, WriteTimeout: consoleTimeout}
	failed := make(chan error, 1)
	go func() { failed <- web.ListenAndServe() }()
	log.Info("console", zap.Stringer("address", s.Address), zap.String("seal_key", sealer.FormatPublicKey(key)))
	select {
	case err := <-failed:
		return fmt.Errorf("serve console: %w", err)
	case <-ctx.Done():
	}
	err = web.Shutdown(context.WithoutCancel(ctx))
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("stop console: %w", err)
	}
	return nil
}
