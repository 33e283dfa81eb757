package shell

import (
	"context"
	"flag"

	"clementinelock/core/tree"
)

var setVerb = Verb{
	Name: "set", Usage: "set [flags] PATH Setting=Value...", Short: "set settings at one node of the tree",
	Long: "PATH is /, /region or /region/zone, followed by :service for a service's own settings.",
	New: func(flags *flag.FlagSet) Runner {
		v := &setter{}
		v.register(flags)
		return v
	},
}

type setter struct {
	editor
}

// Run sends one edit with all settings.
func (v *setter) Run(ctx context.Context, s *Session, args []string) error {
	if len(args) < 2 {
		return usagef("expected PATH and at least one Setting=Value")
	}
	changes, err := parseSettings(args[0], args[1:])
	if err != nil {
		return err
	}
	return v.send(ctx, s, tree.Edit{Changes: changes})
}
