package shell

import (
	"context"
	"flag"
	"strconv"

	"clementinelock/core/tree"
)

var rollbackVerb = Verb{
	Name: "rollback", Usage: "rollback [flags] VERSION", Short: "restore the settings of an older version as a new version",
	New: func(flags *flag.FlagSet) Runner {
		v := &rollbackSender{}
		v.register(flags)
		return v
	},
}

type rollbackSender struct {
	editor
}

// Run sends one edit that names the older version.
func (v *rollbackSender) Run(ctx context.Context, s *Session, args []string) error {
	if len(args) != 1 {
		return usagef("expected one VERSION")
	}
	version, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil || version == 0 {
		return usagef("argument %q is not a version", args[0])
	}
	return v.send(ctx, s, tree.Edit{RollbackTo: version})
}
