package shell

import (
	"context"
	"flag"
	"fmt"

	"clementinelock/core/ctrl"
	"clementinelock/core/tree"
	"clementinelock/io/config"
)

var applyVerb = Verb{
	Name: "apply", Usage: "apply [flags] FILE", Short: "replace the whole tree by the content of a file, as one edit",
	New: func(flags *flag.FlagSet) Runner {
		v := &applier{}
		v.register(flags)
		return v
	},
}

type applier struct {
	editor
}

// Run compares the file with the base version of the tree and sends the differences as one edit.
func (v *applier) Run(ctx context.Context, s *Session, args []string) error {
	if len(args) != 1 {
		return usagef("expected one FILE")
	}
	wanted, err := config.ReadTree(args[0])
	if err != nil {
		return usagef("%v", err)
	}
	if err := s.prepareClient(); err != nil {
		return err
	}
	body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskTree, Version: v.base})
	if err != nil {
		return err
	}
	differences := tree.Compare(body.Tree, wanted)
	if len(differences) == 0 {
		_, err := fmt.Fprintf(s.Out, "version %d already has the content of the file\n", body.Tree.Version)
		return err
	}
	v.base = body.Tree.Version
	return v.send(ctx, s, tree.Edit{Base: body.Tree.Version, Changes: tree.Changes(differences)})
}
