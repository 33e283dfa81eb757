package shell

import (
	"context"
	"flag"
	"fmt"
	"time"

	"clementinelock/core/ctrl"
)

var watchVerb = Verb{
	Name: "watch", Usage: "watch [flags] [VERSION]", Short: "watch a version reach each host",
	New: func(flags *flag.FlagSet) Runner {
		v := &watcher{}
		flags.DurationVar(&v.within, "within", 30*time.Second, "give up after this time")
		flags.Uint64Var(&v.version, "version", 0, "version to wait for; 0 for the one in force")
		return v
	},
}

const watchEvery = 100 * time.Millisecond

type watcher struct {
	within  time.Duration
	version uint64
}

// Run prints each host as it confirms the version, until all have.
func (v *watcher) Run(ctx context.Context, s *Session, _ []string) error {
	if err := s.connect(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, v.within)
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
		lagging := v.show(s, body.InForce, seen)
		if lagging == 0 {
			_, err := fmt.Fprintf(s.Out, "version %d is in force at %d hosts\n", v.version, len(seen))
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d hosts have not confirmed version %d within %s", lagging, v.version, v.within)
		case <-time.After(watchEvery):
		}
	}
}

func (v *watcher) show(s *Session, force *ctrl.InForce, seen map[string]bool) (lagging int) {
	for _, h := range force.Hosts {
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
