package shell

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"

	"clementinelock/core/ctrl"
	"clementinelock/core/plan"
)

var planVerb = Verb{
	Name: "plan", Usage: "plan [flags]", Short: "show the shares by which requests are steered",
	New: func(*flag.FlagSet) Runner { return &planPrinter{} },
}

type planPrinter struct{}

// Run asks the leader for the plan in force.
func (v *planPrinter) Run(ctx context.Context, s *Session, _ []string) error {
	if err := s.prepareClient(); err != nil {
		return err
	}
	body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskPlan})
	if err != nil {
		return err
	}
	return s.print(body.Plan, func(w io.Writer) { writePlan(w, body.Plan) })
}

func writePlan(w io.Writer, p *plan.Plan) {
	if p == nil {
		fmt.Fprintln(w, "there is no plan yet")
		return
	}
	fmt.Fprintf(w, "plan %d.%d for version %d\nFROM\tSERVICE\tTO\tSHARE\n", p.Term, p.Number, p.Version)
	for _, from := range slices.Sorted(maps.Keys(p.Shares)) {
		for _, service := range slices.Sorted(maps.Keys(p.Shares[from])) {
			shares := p.Shares[from][service]
			for _, to := range slices.Sorted(maps.Keys(shares)) {
				fmt.Fprintf(w, "%s\t%s\t%s\t%.4f\n", from, service, to, shares[to])
			}
		}
	}
}
