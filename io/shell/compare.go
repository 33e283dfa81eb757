package shell

import (
	"context"
	"flag"
	"io"
	"strconv"

	"clementinelock/core/ctrl"
	"clementinelock/core/tree"
	"clementinelock/io/config"
)

var compareVerb = Verb{
	Name: "compare", Usage: "compare [flags] OLD NEW", Short: "show the differences between two versions or files",
	Long: "OLD and NEW are each a file or a version number, 0 for the one in force. The exit code is 5 when they differ.",
	New:  func(*flag.FlagSet) Runner { return &comparer{} },
}

type comparer struct{}

// Run reads both sides and prints their differences.
func (v *comparer) Run(ctx context.Context, s *Session, args []string) error {
	if len(args) != 2 {
		return usagef("expected OLD and NEW")
	}
	var sides [2]*tree.Tree
	for i, arg := range args {
		side, err := v.read(ctx, s, arg)
		if err != nil {
			return err
		}
		sides[i] = side
	}
	differences := tree.Compare(sides[0], sides[1])
	if err := s.print(differences, func(w io.Writer) { writeDifferences(w, differences) }); err != nil {
		return err
	}
	if len(differences) > 0 {
		return errDiffers
	}
	return nil
}

func (v *comparer) read(ctx context.Context, s *Session, arg string) (*tree.Tree, error) {
	version, err := strconv.ParseUint(arg, 10, 64)
	if err != nil {
		t, err := config.ReadTree(arg)
		if err != nil {
			return nil, usagef("%v", err)
		}
		return t, nil
	}
	if err := s.prepareClient(); err != nil {
		return nil, err
	}
	body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskTree, Version: version})
	return body.Tree, err
}
