package shell

import (
	"context"
	"flag"
	"fmt"
	"io"

	"clementinelock/core/ctrl"
	"clementinelock/core/relay"
	"clementinelock/core/tree"
)

var explainVerb = Verb{
	Name: "explain", Usage: "explain [flags] /region/zone:service Setting", Short: "show where a setting's value comes from and which hosts have it in force",
	New: func(*flag.FlagSet) Runner { return &explainer{} },
}

type explainer struct{}

// Explanation is the origin of a setting's value with the version in force at each host.
type Explanation struct {
	tree.Origin
	Version uint64
	Hosts   []relay.Confirmation
}

// Run looks up the origin of the setting in the tree in force, and the version that each host has confirmed.
func (v *explainer) Run(ctx context.Context, s *Session, args []string) error {
	if len(args) != 2 {
		return usagef("expected a path and a Setting")
	}
	parts, err := tree.ParsePath(tree.Path(args[0]))
	if err != nil {
		return usagef("%v", err)
	}
	if err := s.prepareClient(); err != nil {
		return err
	}
	body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskTree})
	if err != nil {
		return err
	}
	origin, err := body.Tree.Explain(parts.Region, parts.Zone, parts.Service, args[1])
	if err != nil {
		return usagef("%v", err)
	}
	inForce, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskInForce})
	if err != nil {
		return err
	}
	e := Explanation{origin, body.Tree.Version, inForce.InForce.Hosts}
	return s.print(e, func(w io.Writer) { writeExplanation(w, args[0], e) })
}

func writeExplanation(w io.Writer, path string, e Explanation) {
	from := string(e.Path)
	if from == "" {
		from = "the default"
	}
	fmt.Fprintf(w, "%s at %s is %q, from %s, in version %d\n", e.Setting, path, e.Value, from, e.Version)
	writeConfirmations(w, e.Version, e.Hosts)
}

// writeConfirmations lists the hosts with the versions that they have and have confirmed, and how far and why they lag.
func writeConfirmations(w io.Writer, version uint64, hosts []relay.Confirmation) {
	fmt.Fprintln(w, "HOST\tIN FORCE\tCONFIRMED\tPARENT\tHEARD\tLAGS")
	for _, h := range hosts {
		lags := ""
		if h.Version < version {
			lags = fmt.Sprintf("by %d", version-h.Version)
			if h.Reason != "" {
				lags += ", " + h.Reason
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s ago\t%s\n", h.Host, h.Have, h.Version, h.Parent, h.Age, lags)
	}
}
