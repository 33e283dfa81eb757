package shell

import (
	"context"
	"flag"
	"fmt"

	"clementinelock/core/ctrl"
)

var expectVerb = Verb{
	Name: "expect", Usage: "expect [flags] HOST", Short: "let a new control host join the group once it connects",
	New: func(*flag.FlagSet) Runner { return &replicaChanger{ctrl.AskAllowJoin, "may join once it connects"} },
}

var removeVerb = Verb{
	Name: "remove", Usage: "remove [flags] HOST", Short: "remove a control host from the group",
	New: func(*flag.FlagSet) Runner { return &replicaChanger{ctrl.AskRemove, "is being removed"} },
}

type replicaChanger struct {
	question ctrl.Question
	outcome  string
}

// Run asks the leader to expect or to remove the control replica.
func (v *replicaChanger) Run(ctx context.Context, s *Session, args []string) error {
	if len(args) != 1 {
		return usagef("expected one HOST")
	}
	if err := s.prepareClient(); err != nil {
		return err
	}
	if _, err := s.Client.Ask(ctx, ctrl.Request{Question: v.question, Name: args[0]}); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.Out, "host %s %s\n", args[0], v.outcome)
	return err
}
