package shell

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"clementinelock/core"
	"clementinelock/io/certs"
	"clementinelock/io/oper"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const program = "clementinelock"

// The exit codes, on which scripts may rely.
const (
	ExitOK = 0
	// ExitRefused is for a question or an edit that the cluster refused.
	ExitRefused = 1
	// ExitUsage is for arguments, flags or files that are not valid, and for help.
	ExitUsage = 2
	// ExitConflict is for an edit that was made against an older version.
	ExitConflict = 3
	// ExitUnreachable is for a cluster without a reachable leader, and for all other errors.
	ExitUnreachable = 4
	// ExitDiffers is for differences found by compare, and for hosts that lag in in-force.
	ExitDiffers = 5
)

// Verb is one row of the table of verbs.
type Verb struct {
	Name  string
	Usage string
	Short string
	Long  string
	// New registers the verb's flags and returns its Runner.
	New func(flags *flag.FlagSet) Runner
}

// Runner runs one verb.
type Runner interface {
	// Run runs the verb with the arguments that follow the flags.
	Run(ctx context.Context, s *Session, args []string) error
}

// Session holds the client, the output and the output format of one run of a verb.
type Session struct {
	Client *oper.Client
	Out    io.Writer
	JSON   bool
}

// Verbs lists every verb, in the order of the help.
var Verbs = []Verb{
	getVerb, setVerb, unsetVerb, applyVerb, compareVerb, explainVerb, historyVerb, rollbackVerb,
	drainVerb, undrainVerb, shiftVerb, inForceVerb, watchVerb, membersVerb, expectVerb, removeVerb,
	planVerb, whatIfVerb, dumpVerb, settingsVerb, errorsVerb, authorityVerb, issueVerb, completionVerb,
}

// usageError is an error in the arguments, the flags or the files that they name.
type usageError struct {
	text string
}

func (u *usageError) Error() string { return u.text }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// errDiffers is returned by a verb that found differences; it sets the exit code and is not printed.
var errDiffers = errors.New("there are differences")

// commonFlags holds the flags that every verb has.
type commonFlags struct {
	hosts, certificate, key, authority string
	json                               bool
}

func (c *commonFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&c.hosts, "hosts", "", "operator addresses of the hosts, IP:PORT, separated by commas")
	flags.StringVar(&c.certificate, "certificate", "", "file of the operator's certificate")
	flags.StringVar(&c.key, "key", "", "file of the operator's key")
	flags.StringVar(&c.authority, "authority", "", "file of the certificate of the cluster's authority")
	flags.BoolVar(&c.json, "json", false, "write the output as JSON")
	flags.String("config", "", "file with one flag and its value per line")
}

func (c *commonFlags) session(out io.Writer) *Session {
	keys := &certs.Keys{Files: certs.Files{Certificate: c.certificate, Key: c.key, Authority: c.authority}}
	hosts := strings.FieldsFunc(c.hosts, func(r rune) bool { return r == ',' })
	return &Session{Client: &oper.Client{Keys: keys, Hosts: hosts}, Out: out, JSON: c.json}
}

// Main runs the command line and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := command(stdout, stderr)
	err := root.ParseAndRun(ctx, args)
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	if errors.Is(err, flag.ErrHelp) || errors.Is(err, errDiffers) {
		return code
	}
	fmt.Fprintf(stderr, "%s %v\n", program, err)
	return code
}

func exitCode(err error) int {
	var usage *usageError
	var refusal *core.Refusal
	switch {
	case errors.Is(err, flag.ErrHelp), errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, errDiffers):
		return ExitDiffers
	case errors.As(err, &refusal) && refusal.Kind == core.VersionConflict:
		return ExitConflict
	case errors.As(err, &refusal) && refusal.Kind != core.NoLeader:
		return ExitRefused
	}
	return ExitUnreachable
}

func command(stdout, stderr io.Writer) *ffcli.Command {
	var list []*ffcli.Command
	for _, v := range Verbs {
		list = append(list, verbCommand(v, stdout, stderr))
	}
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name: program, ShortUsage: program + " VERB [flags] [arguments]", ShortHelp: "Operates a clementinelock cluster.",
		FlagSet: flags, Subcommands: list,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("verb %q does not exist", args[0])
			}
			return flag.ErrHelp
		},
	}
}

func verbCommand(v Verb, stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet(program+" "+v.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	shared := &commonFlags{}
	shared.register(flags)
	runner := v.New(flags)
	return &ffcli.Command{
		Name: v.Name, ShortUsage: program + " " + v.Usage, ShortHelp: v.Short, LongHelp: v.Long, FlagSet: flags,
		Options: []ff.Option{ff.WithEnvVarPrefix("CLEMENTINELOCK"), ff.WithConfigFileFlag("config"), ff.WithConfigFileParser(ff.PlainParser)},
		Exec: func(ctx context.Context, args []string) error {
			err := runner.Run(ctx, shared.session(stdout), args)
			if err != nil {
				return fmt.Errorf("%s: %w", v.Name, err)
			}
			return nil
		},
	}
}

// print writes the value as JSON with --json; otherwise it calls text and aligns the columns of its output.
func (s *Session) print(value any, text func(w io.Writer)) error {
	if s.JSON {
		encoder := json.NewEncoder(s.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(s.Out, 0, 4, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// prepareClient checks that a host is named and loads the operator's keys.
func (s *Session) prepareClient() error {
	if len(s.Client.Hosts) == 0 {
		return usagef("flag --hosts (or CLEMENTINELOCK_HOSTS) names no host")
	}
	if err := s.Client.Keys.Load(); err != nil {
		return usagef("%v", err)
	}
	return nil
}
