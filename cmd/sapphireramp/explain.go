package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/sapphireramp/sapphireramp/explainer"
	"github.com/sapphireramp/sapphireramp/logger"
)

func explainCommand() command {
	flags := newCommand("explain", "print the log lines of a request and the cause of its outcome: sapphireramp explain 9c41d07be2a35f68 --log all.log")
	request, file := "", ""
	flags.AddPositionalValue(&request, "REQUEST", 1, true, "id of the request")
	flags.String(&file, "f", "log", "file with the log lines of all entries; default standard input")
	return command{flags: flags, run: func(context.Context) error {
		logs := io.Reader(os.Stdin)
		if file != "" {
			logFile, err := os.Open(file)
			if err != nil {
				return fmt.Errorf("open log: %w", err)
			}
			defer func() { _ = logFile.Close() }()
			logs = logFile
		}
		explanation, err := explainer.Explain(logs, request)
		if err != nil {
			return fmt.Errorf("explain request %s: %w", request, err)
		}
		for _, line := range explanation.Lines {
			_, _ = fmt.Println(line)
		}
		for _, missing := range explanation.MissingLines {
			_, _ = fmt.Println("missing:", missing)
		}
		_, err = fmt.Println("cause:", explanation.Cause)
		return err
	}}
}

func eventsCommand() command {
	flags := newCommand("events", "list the log events of an entry on the users' platform")
	return command{flags: flags, run: func(context.Context) error {
		for _, e := range logger.Events {
			if _, err := fmt.Printf("%s\n    %s\n    fields: %s\n", e.Name, e.Meaning, strings.Join(e.Fields, " ")); err != nil {
				return fmt.Errorf("print events: %w", err)
			}
		}
		return nil
	}}
}
