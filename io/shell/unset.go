package shell

import (
	"context"
	"flag"

	"clementinelock/core/tree"
)

var unsetVerb = Verb{
	Name: "unset", Usage: "unset [flags] PATH Setting...", Short: "remove settings of one node of the tree, so that it inherits them",
	New: func(flags *flag.FlagSet) Runner {
		v := &unsetter{}
		v.register(flags)
		return v
	},
}

type unsetter struct {
	editor
}

// Run sends one edit that unsets all the settings.
func (v *unsetter) Run(ctx context.Context, s *Session, args []string) error {
	if len(args) < 2 {
		return usagef("expected PATH and at least one Setting")
	}
	var changes []tree.Change
	for _, name := range args[1:] {
		if _, err := tree.FindSetting(name); err != nil {
			return usagef("%v", err)
		}
		changes = append(changes, tree.Change{Path: tree.Path(args[0]), Setting: name, Unset: true})
	}
	return v.send(ctx, s, tree.Edit{Changes: changes})
}
