package shell

import (
	"context"
	"flag"
	"fmt"
	"io"

	"clementinelock/core/ctrl"
)

var inForceVerb = Verb{
	Name: "in-force", Usage: "in-force [flags]", Short: "show which version each host has in force",
	Long: "The exit code is 5 when a host lags.",
	New:  func(*flag.FlagSet) Runner { return &forceShower{} },
}

type forceShower struct{}

// Run asks the leader what hosts have confirmed.
func (v *forceShower) Run(ctx context.Context, s *Session, _ []string) error {
	if err := s.connect(); err != nil {
		return err
	}
	body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskInForce})
	if err != nil {
		return err
	}
	force := body.InForce
	err = s.print(force, func(w io.Writer) {
		fmt.Fprintf(w, "version %d\n", force.Version)
		writeConfirms(w, force.Version, force.Hosts)
	})
	if err != nil {
		return err
	}
	for _, h := range force.Hosts {
		if h.Version < force.Version {
			return errDiffers
		}
	}
	return nil
}
