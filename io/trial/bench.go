package trial

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"clementinelock/core"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// figure is one row of an experiment's table.
type figure struct {
	name   string
	value  string
	target string
	met    bool
}

// experiment is a named set of measurements.
type experiment struct {
	name string
	run  func(ctx context.Context, b *bench) error
}

// experiments lists all experiments in the order in which they run.
var experiments = []experiment{
	{"control", benchControl},
	{"requests", benchRequests},
	{"overload", benchOverload},
	{"steering", benchSteering},
	{"lookups", benchLookups},
	{"scale", benchScale},
	{"loopback", benchLoopback},
}

// bench runs experiments and prints their figures.
type bench struct {
	out     io.Writer
	seed    uint64
	plots   string
	figures []figure
}

func (b *bench) add(name string, met bool, target, format string, args ...any) {
	b.figures = append(b.figures, figure{name, fmt.Sprintf(format, args...), target, met})
}

// addBounded adds a figure in milliseconds with an upper bound.
func (b *bench) addBounded(name string, value, bound core.Millis) {
	b.add(name, value <= bound, "≤ "+bound.String(), "%s", value)
}

func benchCommand(stdout io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	only := flags.String("only", "", "experiments to run, separated by commas; empty for all")
	seed := flags.Uint64("seed", 1, "seed of all random draws")
	folder := flags.String("plots", "", "folder to draw plots into; empty for none")
	return &ffcli.Command{
		Name: "bench", ShortUsage: program + " bench [flags]", ShortHelp: "measure every figure that the docs quote", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			b := &bench{out: stdout, seed: *seed, plots: *folder}
			return b.runAll(ctx, strings.FieldsFunc(*only, func(r rune) bool { return r == ',' }))
		},
	}
}

func (b *bench) runAll(ctx context.Context, only []string) error {
	for _, e := range experiments {
		if len(only) > 0 && !slices.Contains(only, e.name) {
			continue
		}
		b.figures = nil
		if err := e.run(ctx, b); err != nil {
			return fmt.Errorf("experiment %s: %w", e.name, err)
		}
		b.print(e.name)
	}
	return nil
}

func (b *bench) print(name string) {
	fmt.Fprintf(b.out, "\n%s (seed %d)\n", name, b.seed)
	w := tabwriter.NewWriter(b.out, 0, 4, 2, ' ', 0)
	for _, f := range b.figures {
		verdict := ""
		if f.target != "" && !f.met {
			verdict = "MISSED"
		}
		fmt.Fprintf(w, "  %s\t%s\t%s\t%s\n", f.name, f.value, f.target, verdict)
	}
	_ = w.Flush()
}

// quantile returns the q-quantile of the values, with q from 0 to 1.
func quantile[T int64 | float64 | core.Millis](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
