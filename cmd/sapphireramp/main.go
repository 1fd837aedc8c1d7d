// Command sapphireramp runs entries and the operators' console, checks configuration documents and settings,
// sends requests to a running system and explains requests from logs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// version is the version of the program. Release builds set it by a linker flag.
var version = "dev"

// command is a subcommand: its flags, and the function to call after the flags were parsed.
type command struct {
	flags *flaggy.Subcommand
	run   func(context.Context) error
}

// errNoCommand is the error for a command line without a subcommand.
var errNoCommand = eris.New("command line: no command given: use one of entry, gateway, check, ask, call, addresses, status, load, console, explain, events, version; see --help")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := runCommand(ctx, os.Args[1:]); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "sapphireramp:", err)
		stop()
		os.Exit(1)
	}
}

// runCommand parses the command line and runs the subcommand that it names. It returns the error of the
// subcommand or of the parsing.
func runCommand(ctx context.Context, args []string) error {
	parser := flaggy.NewParser("sapphireramp")
	parser.Description = "a serving layer for prompts of a thousand to a million tokens"
	parser.Version = version
	parser.ShowHelpOnUnexpected = true
	parser.ShowHelpWithHFlag = true
	commands := []command{
		entryCommand(), gatewayCommand(), checkCommand(), askCommand(), callCommand(),
		addressesCommand(), statusCommand(), loadCommand(), consoleCommand(), explainCommand(), eventsCommand(), versionCommand(),
	}
	for _, c := range commands {
		parser.AttachSubcommand(c.flags, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return fmt.Errorf("command line: %w", err)
	}
	if len(parser.TrailingArguments) > 0 {
		return fmt.Errorf("command line: unexpected arguments after --: %q", strings.Join(parser.TrailingArguments, " "))
	}
	for _, c := range commands {
		if c.flags.Used {
			return c.run(ctx)
		}
	}
	return errNoCommand
}

func newCommand(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	return s
}

func versionCommand() command {
	flags := newCommand("version", "print the version of the program and of Go")
	return command{flags: flags, run: func(context.Context) error {
		text := version
		if info, ok := debug.ReadBuildInfo(); ok {
			text += " " + info.GoVersion
		}
		_, err := fmt.Println("sapphireramp", text)
		return err
	}}
}
