package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/sapphireramp/sapphireramp/accountant"
	"github.com/sapphireramp/sapphireramp/loader"
	"github.com/sapphireramp/sapphireramp/logger"
	"github.com/sapphireramp/sapphireramp/meter"
	"github.com/sapphireramp/sapphireramp/platform"
	"github.com/sapphireramp/sapphireramp/server"
	"github.com/sapphireramp/sapphireramp/validator"
)

func entryCommand() command {
	flags := newCommand("entry", "run an entry that is configured by a settings file and the configuration document")
	settingsFile := ""
	strict := false
	flags.String(&settingsFile, "s", "settings", "settings file (YAML)")
	flags.Bool(&strict, "", "strict", "exit when an invariant is violated; for tests")
	return command{flags: flags, run: func(ctx context.Context) error {
		if settingsFile == "" {
			return fmt.Errorf("--settings: no file given")
		}
		settings, err := loader.Load(settingsFile)
		if err != nil {
			return err
		}
		return runEntry(ctx, settings, strict)
	}}
}

// runEntry runs an entry until ctx is done and the entry has shut down, or until the entry fails. With strict
// set, the process exits with exitInvariantViolated when an invariant check of the entry first fails.
func runEntry(ctx context.Context, settings loader.Settings, strict bool) error {
	logs, err := logger.New(logger.Config{Level: settings.Log.Level, Layers: settings.Log.Layers, Output: os.Stderr})
	if err != nil {
		return fmt.Errorf("create loggers: %w", err)
	}
	metrics := meter.New()
	defer func() { _ = metrics.Close() }()
	onViolation := func(name, detail string) {
		if strict {
			_, _ = fmt.Fprintf(os.Stderr, "invariant %s violated: %s\n", name, detail)
			os.Exit(exitInvariantViolated)
		}
	}
	debug.SetMemoryLimit(accountant.HeapLimit(settings.Memory))
	entry, err := server.New(server.Config{
		Settings: settings, Incarnation: uint64(time.Now().UnixNano()), Logs: logs,
		MetricScope: metrics.Scope, MetricsHandler: metrics.Handler, OnViolation: onViolation,
	})
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	return entry.Run(ctx)
}

// exitInvariantViolated is the exit code of an entry run with --strict when one of its invariant checks
// fails.
const exitInvariantViolated = 70

// checkPlatformFiles checks a settings file and a configuration file in the formats of the users' platform,
// and prints a line for each valid one. It returns an error for the first invalid or unreadable file. An
// empty file name is skipped.
func checkPlatformFiles(settingsFile, configFile string) error {
	if settingsFile != "" {
		data, err := os.ReadFile(settingsFile)
		if err != nil {
			return fmt.Errorf("read settings: %w", err)
		}
		if _, err := platform.ParseSettings(data); err != nil {
			return fmt.Errorf("%s: %w", settingsFile, err)
		}
		_, _ = fmt.Printf("%s: settings are valid\n", settingsFile)
	}
	if configFile == "" {
		return nil
	}
	data, err := os.ReadFile(configFile)
	if err != nil {
		return fmt.Errorf("read platform configuration: %w", err)
	}
	routeTable, err := platform.DecodeConfig(data)
	if err != nil {
		return fmt.Errorf("%s: %w", configFile, err)
	}
	_, err = fmt.Printf("%s: configuration is valid: version %d, %d routes\n", configFile, routeTable.Config.Version, len(routeTable.Config.Routes))
	return err
}

func checkCommand() command {
	flags := newCommand("check", "check a configuration document or settings files")
	documentFile, settingsFile, platformSettings, platformConfig := "", "", "", ""
	flags.AddPositionalValue(&documentFile, "FILE", 1, false, "configuration document (YAML)")
	flags.String(&settingsFile, "s", "settings", "settings file of an entry to check (YAML)")
	flags.String(&platformSettings, "p", "platform-settings", "settings file of the users' platform to check")
	flags.String(&platformConfig, "c", "platform-config", "configuration of the users' platform to check (JSON)")
	return command{flags: flags, run: func(context.Context) error {
		if documentFile == "" && settingsFile == "" && platformSettings == "" && platformConfig == "" {
			return fmt.Errorf("check: no file given: name a document, or use --settings, --platform-settings or --platform-config")
		}
		if err := checkPlatformFiles(platformSettings, platformConfig); err != nil {
			return err
		}
		if settingsFile != "" {
			if _, err := loader.Load(settingsFile); err != nil {
				return fmt.Errorf("%s: %w", settingsFile, err)
			}
			_, _ = fmt.Printf("%s: settings are valid\n", settingsFile)
		}
		if documentFile == "" {
			return nil
		}
		data, err := os.ReadFile(documentFile)
		if err != nil {
			return fmt.Errorf("read configuration document: %w", err)
		}
		accepted, err := validator.Parse(data)
		if err != nil {
			return fmt.Errorf("%s: %w", documentFile, err)
		}
		_, err = fmt.Printf("%s: document is valid: revision %d digest %s\n", documentFile, accepted.Version.Revision, accepted.Version.Digest)
		return err
	}}
}
