package trial

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"time"

	"clementinelock/core"
	"clementinelock/core/tree"
	"clementinelock/io/config"
	"clementinelock/io/deploy"
	"clementinelock/io/stand"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const program = "clementinelab"

func viewOf(t *tree.Tree) *tree.View {
	return tree.NewView(t)
}

// verbTable lists the tool's verbs.
var verbTable = []func(stdout io.Writer) *ffcli.Command{demoCommand, deployCommand, standCommand, benchCommand, docsCommand}

// Main runs clementinelab, the load and experiment tool, and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(stderr)
	root := &ffcli.Command{
		Name: program, ShortUsage: program + " VERB [flags]", ShortHelp: "Runs experiments on clementinelock.", FlagSet: flags,
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, build := range verbTable {
		command := build(stdout)
		command.FlagSet.SetOutput(stderr)
		root.Subcommands = append(root.Subcommands, command)
	}
	err := root.ParseAndRun(ctx, args)
	if err == nil {
		return 0
	}
	if !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(stderr, "%s: %v\n", program, err)
	}
	return 1
}

func demoCommand(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	d := &Demo{Out: stdout}
	flags.StringVar(&d.TreeFile, "tree", "examples/instituto/tree.toml", "the user's tree")
	flags.Float64Var(&d.Rate, "rate", 300, "requests per second")
	flags.DurationVar(&d.Duration, "length", 16*time.Second, "how long the load runs")
	flags.Uint64Var(&d.Seed, "seed", 1, "seed of the load")
	return &ffcli.Command{
		Name: "demo", ShortUsage: program + " demo [flags]", ShortHelp: "run one user's whole deployment under load and check the results", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error { return d.Run(ctx) },
	}
}

func deployCommand(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("deploy", flag.ContinueOnError)
	file := flags.String("tree", "examples/instituto/tree.toml", "the user's tree")
	folder := flags.String("folder", "deployment", "folder to write to")
	feed := flags.String("feed", "", "the platform's list: a file's path or an http address")
	valid := flags.Duration("valid", 90*24*time.Hour, "how long the certificates are valid")
	return &ffcli.Command{
		Name: "deploy", ShortUsage: program + " deploy [flags]", ShortHelp: "write certificates and a settings file per host", FlagSet: flags,
		Exec: func(context.Context, []string) error {
			t, err := config.ReadTree(*file)
			if err != nil {
				return err
			}
			d := &deploy.Deployment{Folder: *folder, Tree: t, Feed: *feed, Validity: *valid, StopWithin: core.Minute}
			hosts, err := d.Write()
			for _, host := range hosts {
				fmt.Fprintf(stdout, "%s\n", host.File)
			}
			return err
		},
	}
}

func standCommand(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("stand", flag.ContinueOnError)
	file := flags.String("tree", "examples/instituto/tree.toml", "the user's tree")
	list := flags.String("list", "127.0.0.1:9900", "address to serve the platform's list on")
	serviceTime := flags.Duration("service-time", 5*time.Millisecond, "mean time that a request runs")
	return &ffcli.Command{
		Name: "stand", ShortUsage: program + " stand [flags]", ShortHelp: "run stand-in upstreams and the platform's list", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			t, err := config.ReadTree(*file)
			if err != nil {
				return err
			}
			fleet := &stand.Upstreams{Tree: t, ServiceTime: *serviceTime}
			if err := fleet.Start(); err != nil {
				return err
			}
			defer fleet.Stop()
			server := &http.Server{Addr: *list, Handler: fleet.ListHandler(), ReadHeaderTimeout: time.Second}
			context.AfterFunc(ctx, func() { _ = server.Close() })
			fmt.Fprintf(stdout, "endpoints of %s are up, the list is at http://%s/\n", *file, *list)
			if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		},
	}
}
