package shell

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"clementinelock/core"
	"clementinelock/core/tree"
)

var settingsVerb = Verb{
	Name: "settings", Usage: "settings [flags]", Short: "list every setting of the tree",
	New: func(*flag.FlagSet) Runner { return &settingLister{} },
}

type settingLister struct{}

// Run prints the table of settings.
func (v *settingLister) Run(_ context.Context, s *Session, _ []string) error {
	return s.print(tree.Settings, func(w io.Writer) {
		fmt.Fprintln(w, "SETTING\tDEFAULT\tEXPECTS\tMEANING")
		for _, row := range tree.Settings {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", row.Name, row.Default, row.Expects, row.Meaning)
		}
	})
}

var errorsVerb = Verb{
	Name: "errors", Usage: "errors [flags]", Short: "list every kind of error with its status and meaning",
	New: func(*flag.FlagSet) Runner { return &errorLister{} },
}

type errorLister struct{}

// Run prints the table of error kinds.
func (v *errorLister) Run(_ context.Context, s *Session, _ []string) error {
	return s.print(core.Answers, func(w io.Writer) {
		fmt.Fprintln(w, "KIND\tSTATUS\tRETRY AFTER\tMEANING")
		for _, kind := range slices.Sorted(maps.Keys(core.Answers)) {
			row := core.Answers[kind]
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", kind, row.Status, row.RetryAfter, row.Meaning)
		}
	})
}

var completionVerb = Verb{
	Name: "completion", Usage: "completion [flags]", Short: "write a completion script for bash",
	New: func(*flag.FlagSet) Runner { return &completer{} },
}

type completer struct{}

// Run prints the completion script.
func (v *completer) Run(_ context.Context, s *Session, _ []string) error {
	var names []string
	for _, verb := range Verbs {
		names = append(names, verb.Name)
	}
	_, err := fmt.Fprintf(s.Out, "complete -W %q %s\n", strings.Join(names, " "), program)
	return err
}
