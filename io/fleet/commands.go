package fleet

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"clementinelock/io/logs"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// environmentPrefix precedes the name of a flag, in capitals, in the environment variable that sets it.
const environmentPrefix = "CLEMENTINELOCK"

// command describes a command for hosts that find each other.
type command struct {
	name, help string
	// newProcess returns the host's process; if it is nil, the command only checks the settings.
	newProcess func(s Settings, p Platform, log *logs.Logger) process
}

// process is the process of a host.
type process interface {
	// Run serves until the stop context is cancelled and the planned stop is complete.
	Run(stop context.Context) error
	// Reload applies the settings that may change while the host runs.
	Reload(s Settings)
}

var hostCommands = []command{
	{"entry", "run an entry host of a deployment whose hosts find each other", func(s Settings, p Platform, log *logs.Logger) process { return NewEntry(s, p, log) }},
	{"control", "run a control host of a deployment whose hosts find each other", func(s Settings, p Platform, log *logs.Logger) process { return NewControl(s, p, log) }},
	{"check-fleet", "check the settings of such a host and do nothing else", nil},
}

// Commands returns the commands of hosts that find each other, for a platform.
func Commands(program string, p Platform, stdout, stderr io.Writer) []*ffcli.Command {
	var commands []*ffcli.Command
	for _, v := range hostCommands {
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
				return runHost(ctx, v, *path, p, stdout)
			},
		})
	}
	return commands
}

// runHost runs a host until SIGTERM or SIGINT; SIGHUP reloads its settings.
func runHost(ctx context.Context, v command, path string, p Platform, stdout io.Writer) error {
	stop, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	s, err := ReadSettings(path)
	if err != nil {
		return fmt.Errorf("%s: %w", v.name, err)
	}
	if v.newProcess == nil {
		_, err := fmt.Fprintf(stdout, "settings of host %q are valid\n", s.Name)
		return err
	}
	log := logs.NewStructured(stdout, s.Name)
	defer log.Close()
	host := v.newProcess(s, p, log)
	go reloadOnSignal(stop, reload, path, host, log)
	if err := host.Run(stop); err != nil {
		return fmt.Errorf("%s: %w", v.name, err)
	}
	return nil
}

// reloadOnSignal reloads the settings at each signal; settings that can't be read are ignored.
func reloadOnSignal(stop context.Context, signals <-chan os.Signal, path string, host process, log *logs.Logger) {
	for {
		select {
		case <-stop.Done():
			return
		case <-signals:
		}
		s, err := ReadSettings(path)
		if err != nil {
			log.Error("host", fmt.Errorf("settings not reloaded, the previous ones stay in use: %w", err))
			continue
		}
		host.Reload(s)
	}
}
