package shell

import (
	"context"
	"flag"
	"fmt"
	"io"

	"clementinelock/core/ctrl"
	"clementinelock/io/plots"
)

var whatIfVerb = Verb{
	Name: "what-if", Usage: "what-if [flags] [PATH Setting=Value...]", Short: "show the plan that a change or a loss would lead to, without applying it",
	New: func(flags *flag.FlagSet) Runner {
		v := &whatIfAsker{}
		flags.StringVar(&v.question.LostRegion, "lose-region", "", "region that is assumed lost")
		flags.StringVar(&v.question.LostZone, "lose-zone", "", "availability zone that is assumed lost")
		flags.StringVar(&v.plot, "plot", "", "file for a plot of usage as a fraction of the limit, before and after the change or loss, .png or .svg")
		return v
	},
}

type whatIfAsker struct {
	question ctrl.WhatIf
	plot     string
}

// Run asks the leader for the plans before and after the change or loss, and prints what they use side by side.
func (v *whatIfAsker) Run(ctx context.Context, s *Session, args []string) error {
	if len(args) > 0 {
		changes, err := parseSettings(args[0], args[1:])
		if err != nil {
			return err
		}
		v.question.Changes = changes
	}
	if err := s.prepareClient(); err != nil {
		return err
	}
	body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskWhatIf, WhatIf: &v.question})
	if err != nil {
		return err
	}
	if v.plot != "" {
		if err := plots.WhatIf(v.plot, body.WhatIf); err != nil {
			return err
		}
	}
	return s.print(body.WhatIf, func(w io.Writer) { writeWhatIf(w, body.WhatIf) })
}

func writeWhatIf(w io.Writer, b *ctrl.WhatIfResult) {
	fmt.Fprintln(w, "WHAT\tBEFORE\tAFTER\tLIMIT BEFORE\tLIMIT AFTER")
	before := map[string]ctrl.UsageRow{}
	for _, row := range b.Before.Rows {
		before[row.What] = row
	}
	for _, row := range b.After.Rows {
		old := before[row.What]
		delete(before, row.What)
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.1f\t%.1f\n", row.What, old.Used, row.Used, old.Limit, row.Limit)
	}
	for _, row := range b.Before.Rows {
		if old, only := before[row.What]; only {
			fmt.Fprintf(w, "%s\t%.1f\t0.0\t%.1f\t0.0\n", row.What, old.Used, old.Limit)
		}
	}
	fmt.Fprintf(w, "refused req/s\t%.1f\t%.1f\t\t\n", b.Before.Refused, b.After.Refused)
}
