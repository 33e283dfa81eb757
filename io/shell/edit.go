package shell

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"clementinelock/core"
	"clementinelock/core/ctrl"
	"clementinelock/core/edits"
	"clementinelock/core/tree"
)

const maxSendAttempts = 3

// editor is embedded in the verbs that make an edit: it holds their common flags and sends the edit.
type editor struct {
	id       string
	base     uint64
	override bool
	dryRun   bool
}

func (e *editor) register(flags *flag.FlagSet) {
	flags.StringVar(&e.id, "edit-id", "", "id of the edit; resending the same id returns the first outcome")
	flags.Uint64Var(&e.base, "base", 0, "version that the edit is made against; 0 for the one in force")
	flags.BoolVar(&e.override, "override", false, "accept a change that removes a service's last upstream or leaves demand without capacity")
	flags.BoolVar(&e.dryRun, "dry-run", false, "check the edit and show what it changes, without making it")
}

// send sends the edit and prints its outcome. A retry after a lost reply carries the same edit id, so that the edit
// applies once.
func (e *editor) send(ctx context.Context, s *Session, edit tree.Edit) error {
	if err := s.prepareClient(); err != nil {
		return err
	}
	edit.ID, edit.Base, edit.Override = e.id, e.base, e.override
	if edit.ID == "" {
		edit.ID = rand.Text()
	}
	if edit.Base == 0 {
		body, err := askWithRetry(ctx, s, ctrl.Request{Question: ctrl.AskTree})
		if err != nil {
			return err
		}
		edit.Base = body.Tree.Version
	}
	question := ctrl.AskEdit
	if e.dryRun {
		question = ctrl.AskPreview
	}
	body, err := askWithRetry(ctx, s, ctrl.Request{Question: question, Edit: &edit})
	if body.Outcome == nil {
		return err
	}
	if printErr := s.print(body.Outcome, func(w io.Writer) { writeOutcome(w, body.Outcome, e.dryRun) }); printErr != nil {
		return printErr
	}
	return err
}

// askWithRetry asks up to maxSendAttempts times, until the reply is an answer or a refusal other than NoLeader.
func askWithRetry(ctx context.Context, s *Session, ask ctrl.Request) (ctrl.Body, error) {
	var body ctrl.Body
	var err error
	for range maxSendAttempts {
		body, err = s.Client.Ask(ctx, ask)
		var refusal *core.Refusal
		if err == nil || errors.As(err, &refusal) && refusal.Kind != core.NoLeader {
			return body, err
		}
	}
	if ask.Edit != nil {
		err = fmt.Errorf("edit id %q: %w", ask.Edit.ID, err)
	}
	return body, err
}

func writeOutcome(w io.Writer, o *edits.Outcome, dryRun bool) {
	switch {
	case dryRun:
		fmt.Fprintf(w, "would make version %d\n", o.Version)
	case o.Accepted:
		fmt.Fprintf(w, "accepted as version %d\n", o.Version)
	default:
		fmt.Fprintf(w, "refused; version %d is in force and differs by:\n", o.Version)
	}
	writeDifferences(w, o.Differences)
}

func writeDifferences(w io.Writer, differences []tree.Difference) {
	for _, d := range differences {
		fmt.Fprintln(w, d)
	}
}

// parseSettings parses arguments of the form Setting=Value and checks them against the table of settings.
func parseSettings(path string, args []string) ([]tree.Change, error) {
	if _, err := tree.ParsePath(tree.Path(path)); err != nil {
		return nil, usagef("%v", err)
	}
	var changes []tree.Change
	for _, arg := range args {
		name, value, found := strings.Cut(arg, "=")
		if !found {
			return nil, usagef("argument %q is not of the form Setting=Value", arg)
		}
		row, err := tree.FindSetting(name)
		if err != nil {
			return nil, usagef("%v", err)
		}
		if err := row.Check(tree.Path(path), value); err != nil {
			return nil, usagef("%v", err)
		}
		changes = append(changes, tree.Change{Path: tree.Path(path), Setting: name, Value: value})
	}
	return changes, nil
}
