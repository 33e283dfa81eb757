package trial

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"clementinelock/core"
	"clementinelock/core/tree"
	"clementinelock/io/fleet"
	"clementinelock/io/metric"
	"clementinelock/io/shell"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// pages lists the pages of the docs that are generated from the program's tables.
var pages = []struct {
	file   string
	render func(w io.Writer)
}{
	{"ERRORS.md", errorsPage},
	{"METRICS.md", metricsPage},
	{"SETTINGS.md", settingsPage},
	{"MANUAL.md", manualPage},
}

const pageMode = 0o644

func docsCommand(_ io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("docs", flag.ContinueOnError)
	folder := flags.String("folder", "docs", "folder to write to")
	return &ffcli.Command{
		Name: "docs", ShortUsage: program + " docs [flags]", ShortHelp: "write the pages generated from the program's tables", FlagSet: flags,
		Exec: func(context.Context, []string) error {
			for name, data := range Pages() {
				if err := os.WriteFile(filepath.Join(*folder, name), data, pageMode); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// Pages returns the generated pages by file name.
func Pages() map[string][]byte {
	out := map[string][]byte{}
	for _, page := range pages {
		var data bytes.Buffer
		page.render(&data)
		out[page.file] = data.Bytes()
	}
	return out
}

func errorsPage(w io.Writer) {
	fmt.Fprint(w, `# Errors

Every refusal carries its kind, whether the request ran and, where a retry
makes sense, when: in the headers Clementinelock-Kind, Clementinelock-Ran,
Retry-After and Clementinelock-Retry-After, and as JSON in the body. Ran is No
only when no copy of the request can still run, Unknown whenever one may. This
page is generated from the program's table by clementinelab docs.

| kind | status | try again after | meaning |
| --- | --- | --- | --- |
`)
	for _, kind := range slices.Sorted(maps.Keys(core.Answers)) {
		row := core.Answers[kind]
		retryAfter := row.RetryAfter.String()
		if row.RetryAfter == 0 {
			retryAfter = "do not"
		}
		fmt.Fprintf(w, "| %s | %d | %s | %s |\n", kind, row.Status, retryAfter, row.Meaning)
	}
}

func metricsPage(w io.Writer) {
	fmt.Fprint(w, `# Metrics

Each host serves these metrics at /metrics on its StatusAddress. This page is
generated from the program's table by clementinelab docs.

Alert on these: clementinelock_config_confirmed_version that stays behind
clementinelock_config_version for more than 10 s; clementinelock_ledger_recovered
at 0 for more than a minute; clementinelock_refusals_total that grows for the
kinds Overloaded, CapReached, NoUpstream or LedgerUnreached;
clementinelock_request_seconds of the gate check's service. OPERATING.md says
what to do for each.

| metric | meaning |
| --- | --- |
`)
	for _, row := range metric.Names() {
		fmt.Fprintf(w, "| %s | %s |\n", row[0], row[1])
	}
	fmt.Fprint(w, `
Hosts that find each other (clementinelockd entry and control) serve these on the
MetricsPort of their settings, and their state at /dump. Alert on
clementinelock_entry_requests_total of the kinds Overloaded, NoUpstream,
UpstreamFailed and DeadlinePassed, and clementinelock_log_dropped_total;
OPERATIONS.md describes how to find the cause.

| metric | meaning |
| --- | --- |
`)
	for _, row := range fleet.MetricNames() {
		fmt.Fprintf(w, "| %s | %s |\n", row[0], row[1])
	}
}

func settingsPage(w io.Writer) {
	fmt.Fprint(w, `# Settings of the tree

A setting is taken from the nearest node that has it: the availability zone,
then the region, then the root; at each node a service's own entry goes before
the node's. This page is generated from the program's table by clementinelab
docs.

| setting | default | expects | stands at | meaning |
| --- | --- | --- | --- | --- |
`)
	for i := range tree.Settings {
		row := &tree.Settings[i]
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s |\n", row.Name, row.Default, row.Expects, row.Place(), row.Meaning)
	}
}

func manualPage(w io.Writer) {
	fmt.Fprintf(w, `# Manual of the operators' command line

Every verb takes --hosts, --certificate, --key and --authority, or the
environment CLEMENTINELOCK_HOSTS and so on, or a file named by --config, and
--json. Exit codes: %d done, %d refused, %d usage, %d lost a race with another
edit, %d no host or leader reached, %d differences or lagging hosts found. This
page is generated from the program's table by clementinelab docs; the examples
are run when it is generated.
`, shell.ExitOK, shell.ExitRefused, shell.ExitUsage, shell.ExitConflict, shell.ExitUnreachable, shell.ExitDiffers)
	for _, verb := range shell.Verbs {
		fmt.Fprintf(w, "\n## %s\n\n    clementinelock %s\n\n%s.\n", verb.Name, verb.Usage, capitalize(verb.Short))
		if verb.Long != "" {
			fmt.Fprintf(w, "\n%s\n", verb.Long)
		}
		flags := flag.NewFlagSet(verb.Name, flag.ContinueOnError)
		flags.SetOutput(w)
		verb.New(flags)
		count := 0
		flags.VisitAll(func(*flag.Flag) { count++ })
		if count > 0 {
			fmt.Fprint(w, "\n```\n")
			flags.PrintDefaults()
			fmt.Fprint(w, "```\n")
		}
		for _, line := range examples[verb.Name] {
			writeExample(w, verb.Name, line)
		}
	}
}

func capitalize(text string) string {
	return string(text[0]-'a'+'A') + text[1:]
}

// examples lists the manual's examples that need no cluster, by verb.
var examples = map[string][][]string{
	"errors":   {{"--json=false"}},
	"set":      {{"/lisboa:extratos", "Slots=none"}, {"/", "slots=4"}},
	"drain":    {{"lisboa"}},
	"rollback": {{"first"}},
}

// writeExample runs a command line and writes its output and exit code.
func writeExample(w io.Writer, verb string, args []string) {
	var out bytes.Buffer
	code := shell.Main(context.Background(), append([]string{verb}, args...), &out, &out)
	fmt.Fprint(w, "\n```\n$ clementinelock ", verb)
	for _, arg := range args {
		fmt.Fprint(w, " ", arg)
	}
	fmt.Fprintf(w, "\n%s(exit code %d)\n```\n", out.String(), code)
}
