package shell

import (
	"context"
	"flag"
	"fmt"
	"io"

	"clementinelock/core/ctrl"
)

var historyVerb = Verb{
	Name: "history", Usage: "history [flags]", Short: "list accepted edits",
	New: func(flags *flag.FlagSet) Runner {
		v := &historyLister{}
		flags.IntVar(&v.limit, "limit", 20, "number of the newest versions to list")
		return v
	},
}

type historyLister struct {
	limit int
}

// Run lists the newest versions with what they changed.
func (v *historyLister) Run(ctx context.Context, s *Session, _ []string) error {
	if err := s.prepareClient(); err != nil {
		return err
	}
	body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskHistory, Limit: v.limit})
	if err != nil {
		return err
	}
	return s.print(body.History, func(w io.Writer) {
		for _, version := range body.History {
			fmt.Fprintf(w, "version %d by %s, edit %s\n", version.Number, version.Author, version.ID)
			writeDifferences(w, version.Differences)
		}
	})
}
