package shell

import (
	"context"
	"flag"
	"fmt"
	"io"

	"clementinelock/core/ctrl"
	"clementinelock/io/config"
)

var getVerb = Verb{
	Name: "get", Usage: "get [flags]", Short: "write the tree as a file that apply reads",
	New: func(flags *flag.FlagSet) Runner {
		v := &getter{}
		flags.Uint64Var(&v.version, "version", 0, "version to write; 0 for the one in force")
		return v
	},
}

type getter struct {
	version uint64
}

// Run prints the tree as a file that apply reads, or as JSON with --json.
func (v *getter) Run(ctx context.Context, s *Session, args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	if err := s.prepareClient(); err != nil {
		return err
	}
	body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskTree, Version: v.version})
	if err != nil {
		return err
	}
	return s.print(body.Tree, func(w io.Writer) {
		fmt.Fprintf(w, "# Version %d\n%s", body.Tree.Version, config.WriteTree(body.Tree))
	})
}
