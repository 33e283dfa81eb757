package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"clementinelock/io/config"
	"clementinelock/io/disk"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const program = "clementinelockd"

// Exit codes of the daemon.
const (
	exitDone  = 0
	exitFault = 1
	exitUsage = 2
)

// Main runs the daemon's command line, with additional verbs, and returns its exit code.
func Main(args []string, stdout, stderr io.Writer, further ...*ffcli.Command) int {
	root := command(stdout, stderr)
	root.Subcommands = append(root.Subcommands, further...)
	err := root.ParseAndRun(context.Background(), args)
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprintln(stderr, root.UsageFunc(root))
		return exitUsage
	default:
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
		return exitFault
	}
}

func command(stdout, stderr io.Writer) *ffcli.Command {
	var verbs []*ffcli.Command
	for _, v := range verbTable {
		flags := flag.NewFlagSet(program+" "+v.name, flag.ContinueOnError)
		flags.SetOutput(stderr)
		settings := flags.String("settings", "", "the host's settings file")
		verbs = append(verbs, &ffcli.Command{
			Name: v.name, ShortUsage: program + " " + v.name + " --settings FILE", ShortHelp: v.help, FlagSet: flags,
			Exec: func(ctx context.Context, rest []string) error {
				if *settings == "" || len(rest) > 0 {
					return fmt.Errorf("%s: expected --settings FILE and nothing else", v.name)
				}
				s, err := config.ReadSettings(*settings)
				if err != nil {
					return fmt.Errorf("%s: %w", v.name, err)
				}
				if err := v.run(ctx, s, stdout); err != nil {
					return fmt.Errorf("%s: %w", v.name, err)
				}
				return nil
			},
		})
	}
	return &ffcli.Command{
		ShortUsage: program + " VERB --settings FILE", ShortHelp: "Runs one host of clementinelock.", Subcommands: verbs,
		FlagSet: flag.NewFlagSet(program, flag.ContinueOnError),
		Exec:    func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// verb is a subcommand of the daemon.
type verb struct {
	name, help string
	run        func(ctx context.Context, s config.Settings, stdout io.Writer) error
}

var verbTable = []verb{
	{"run", "run the host until it is told to stop", run},
	{"check", "check the settings file and exit", check},
	{"init", "make the data folder of the first control host of a new cluster", initialise},
}

func check(_ context.Context, s config.Settings, stdout io.Writer) error {
	_, err := fmt.Fprintf(stdout, "settings of host %q are valid\n", s.Host)
	return err
}

func initialise(_ context.Context, s config.Settings, stdout io.Writer) error {
	if !s.IsControl() {
		return fmt.Errorf("host %q does not have the role Control", s.Host)
	}
	if err := disk.Initialise(s.DataFolder); err != nil {
		return err
	}
	_, err := fmt.Fprintf(stdout, "data folder %q is ready\n", s.DataFolder)
	return err
}

// run serves until a planned stop is complete. SIGTERM or SIGINT starts the stop, and a second one ends the host at
// once; SIGUSR1 writes the dump to stdout.
func run(ctx context.Context, s config.Settings, stdout io.Writer) error {
	// Signals that arrive while the host starts are queued until it has started.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	d := &Daemon{Settings: s, LogOutput: os.Stderr}
	if err := d.Start(ctx); err != nil {
		return err
	}
	go func() {
		stopping := false
		for s := range signals {
			switch {
			case s == syscall.SIGUSR1:
				_ = json.NewEncoder(stdout).Encode(d.Dump())
			case stopping:
				_, open := d.driver.stopped()
				d.log.Error("host", fmt.Errorf("stopped by a second signal: %d requests aborted", open))
				d.Kill()
			default:
				stopping = true
				d.Stop()
			}
		}
	}()
	return d.Wait()
}
