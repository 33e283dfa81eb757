package shell

import (
	"context"
	"flag"

	"clementinelock/core/tree"
)

var shiftVerb = Verb{
	Name: "shift", Usage: "shift [flags] PATH WEIGHT", Short: "shift traffic by setting a node's weight, within the shift caps",
	Long: "WEIGHT is relative to the node's siblings: 1 is the whole capacity, 0.5 half of it, 0 none. Setting it back to 1 stops the shift.",
	New: func(flags *flag.FlagSet) Runner {
		v := &shifter{}
		v.register(flags)
		return v
	},
}

type shifter struct {
	editor
}

// Run sends the edit that sets the weight.
func (v *shifter) Run(ctx context.Context, s *Session, args []string) error {
	if len(args) != 2 {
		return usagef("expected PATH and WEIGHT")
	}
	changes, err := parseSettings(args[0], []string{"Weight=" + args[1]})
	if err != nil {
		return err
	}
	return v.send(ctx, s, tree.Edit{Changes: changes})
}
