package shell

import (
	"context"
	"flag"
	"fmt"
	"io"

	"clementinelock/core/ctrl"
	"clementinelock/core/quorum"
)

var membersVerb = Verb{
	Name: "members", Usage: "members [flags]", Short: "show the control replicas, their progress and how many more may fail",
	New: func(*flag.FlagSet) Runner { return &memberLister{} },
}

type memberLister struct{}

// Run prints the leader's view of the control replicas.
func (v *memberLister) Run(ctx context.Context, s *Session, _ []string) error {
	if err := s.prepareClient(); err != nil {
		return err
	}
	body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskMembers})
	if err != nil {
		return err
	}
	return s.print(body.Members, func(w io.Writer) { writeMembers(w, body.Members) })
}

func writeMembers(w io.Writer, status *quorum.Status) {
	fmt.Fprintf(w, "leader %s, term %d, committed %d\n", status.Leader, status.Term, status.Commit)
	fmt.Fprintln(w, "HOST\tVOTES\tSYNCED\tBEHIND\tREACHED")
	voters, reached := 0, 0
	for _, m := range status.Members {
		fmt.Fprintf(w, "%s\t%t\t%d\t%d\t%t\n", m.Name, m.Voter, m.Match, status.LastIndex-min(m.Match, status.LastIndex), m.Reachable)
		if m.Voter {
			voters++
			if m.Reachable {
				reached++
			}
		}
	}
	spare := reached - (voters/2 + 1)
	fmt.Fprintf(w, "%d of %d voters are reachable; %d more may fail before edits stop\n", reached, voters, max(0, spare))
}
