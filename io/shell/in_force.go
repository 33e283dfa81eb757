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
	New:  func(*flag.FlagSet) Runner { return &inForceLister{} },
}

type inForceLister struct{}

// Run asks the leader which version each host has confirmed.
func (v *inForceLister) Run(ctx context.Context, s *Session, _ []string) error {
	if err := s.prepareClient(); err != nil {
		return err
	}
	body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskInForce})
	if err != nil {
		return err
	}
	inForce := body.InForce
	err = s.print(inForce, func(w io.Writer) {
		fmt.Fprintf(w, "version %d\n", inForce.Version)
		writeConfirmations(w, inForce.Version, inForce.Hosts)
	})
	if err != nil {
		return err
	}
	for _, h := range inForce.Hosts {
		if h.Version < inForce.Version {
			return errDiffers
		}
	}
	return nil
}
