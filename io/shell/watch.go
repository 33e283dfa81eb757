package shell

import (
	"context"
	"flag"
	"fmt"
	"time"

	"clementinelock/core/ctrl"
)

var watchVerb = Verb{
	Name: "watch", Usage: "watch [flags]", Short: "wait until every host has confirmed a version",
	New: func(flags *flag.FlagSet) Runner {
		v := &watcher{}
		flags.DurationVar(&v.timeout, "within", 30*time.Second, "fail after this time")
		flags.Uint64Var(&v.version, "version", 0, "version to wait for; 0 for the one in force")
		return v
	},
}

const watchInterval = 100 * time.Millisecond

type watcher struct {
	timeout time.Duration
	version uint64
}

// Run prints each host as it confirms the version, until all have or the timeout passes.
func (v *watcher) Run(ctx context.Context, s *Session, _ []string) error {
	if err := s.prepareClient(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, v.timeout)
	defer cancel()
	seen := map[string]bool{}
	for {
		body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskInForce})
		if err != nil {
			return err
		}
		if v.version == 0 {
			v.version = body.InForce.Version
		}
		lagging := v.printConfirmed(s, body.InForce, seen)
		if lagging == 0 {
			_, err := fmt.Fprintf(s.Out, "version %d is in force at %d hosts\n", v.version, len(seen))
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d hosts have not confirmed version %d within %s", lagging, v.version, v.timeout)
		case <-time.After(watchInterval):
		}
	}
}

// printConfirmed prints the hosts that newly confirmed the version and returns the number of those that lag.
func (v *watcher) printConfirmed(s *Session, inForce *ctrl.InForce, seen map[string]bool) (lagging int) {
	for _, h := range inForce.Hosts {
		if h.Version < v.version {
			lagging++
			continue
		}
		if !seen[h.Host] {
			seen[h.Host] = true
			fmt.Fprintf(s.Out, "%s has version %d in force\n", h.Host, h.Version)
		}
	}
	return lagging
}
