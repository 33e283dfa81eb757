package fleet

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"clementinelock/io/logs"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// environmentPrefix stands before a flag's name in capitals where it is set by the environment.
const environmentPrefix = "CLEMENTINELOCK"

// verb is one row of the verbs of hosts that find each other.
type verb struct {
	name, help string
	run        func(stop context.Context, s Settings, p Platform, log *logs.Logger) error
}

var verbTable = []verb{
	{"entry", "run an entry host of a deployment whose hosts find each other", func(stop context.Context, s Settings, p Platform, log *logs.Logger) error {
		return NewEntry(s, p, log).Run(stop)
	}},
	{"control", "run a control host of a deployment whose hosts find each other", func(stop context.Context, s Settings, p Platform, log *logs.Logger) error {
		return NewControl(s, p, log).Run(stop)
	}},
	{"check-fleet", "check the settings of such a host and do nothing else", func(context.Context, Settings, Platform, *logs.Logger) error {
		return nil
	}},
}

// Commands returns the verbs for a platform.
func Commands(program string, p Platform, stdout, stderr io.Writer) []*ffcli.Command {
	var commands []*ffcli.Command
	for _, v := range verbTable {
		flags := flag.NewFlagSet(program+" "+v.name, flag.ContinueOnError)
		flags.SetOutput(stderr)
		path := flags.String("config", "", "the host's settings file")
		commands = append(commands, &ffcli.Command{
			Name: v.name, ShortUsage: program + " " + v.name + " --config FILE", ShortHelp: v.help, FlagSet: flags,
			Options: []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
			Exec: func(ctx context.Context, rest []string) error {
				if *path == "" || len(rest) > 0 {
					return fmt.Errorf("%s: expected --config FILE and nothing else", v.name)
				}
				return runVerb(ctx, v, *path, p, stdout)
			},
		})
	}
	return commands
}

// runVerb runs a host until it is told to stop by SIGTERM or SIGINT.
func runVerb(ctx context.Context, v verb, path string, p Platform, stdout io.Writer) error {
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// The settings are read at a start only; a change of theirs concerns the next one.
	signal.Ignore(syscall.SIGHUP)
	s, err := ReadSettings(path)
	if err != nil {
		return fmt.Errorf("%s: %w", v.name, err)
	}
	if err := v.run(stop, s, p, logs.NewStructured(stdout, s.Name)); err != nil {
		return fmt.Errorf("%s: %w", v.name, err)
	}
	return nil
}
