package shell

import (
	"context"
	"flag"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"clementinelock/core/ctrl"
	"clementinelock/core/tree"
)

var drainVerb = Verb{
	Name: "drain", Usage: "drain [flags] PATH|IP:PORT", Short: "take a node of the tree or an endpoint out of service, gracefully",
	New: func(flags *flag.FlagSet) Runner { return newDrainer(flags, true) },
}

var undrainVerb = Verb{
	Name: "undrain", Usage: "undrain [flags] PATH|IP:PORT", Short: "put a drained node or endpoint back into service",
	New: func(flags *flag.FlagSet) Runner { return newDrainer(flags, false) },
}

func newDrainer(flags *flag.FlagSet, drained bool) *drainer {
	v := &drainer{drained: drained}
	v.register(flags)
	return v
}

type drainer struct {
	editor
	drained bool
}

// Run sends an edit of the setting Drained of a node, or of the setting Leaving of an endpoint's service.
func (v *drainer) Run(ctx context.Context, s *Session, args []string) error {
	if len(args) != 1 {
		return usagef("expected one PATH or IP:PORT")
	}
	if !strings.HasPrefix(args[0], "/") {
		return v.drainEndpoint(ctx, s, args[0])
	}
	changes, err := parseSettings(args[0], []string{"Drained=" + strconv.FormatBool(v.drained)})
	if err != nil {
		return err
	}
	return v.send(ctx, s, tree.Edit{Changes: changes})
}

// drainEndpoint adds the endpoint to the setting Leaving of its service, or removes it.
func (v *drainer) drainEndpoint(ctx context.Context, s *Session, endpoint string) error {
	if _, err := netip.ParseAddrPort(endpoint); err != nil {
		return usagef("argument %q is neither a path nor an IP:PORT", endpoint)
	}
	if err := s.prepareClient(); err != nil {
		return err
	}
	body, err := s.Client.Ask(ctx, ctrl.Request{Question: ctrl.AskTree})
	if err != nil {
		return err
	}
	for path, values := range body.Tree.Nodes {
		if !slices.Contains(tree.SplitList(values["Endpoints"]), endpoint) {
			continue
		}
		leaving := slices.DeleteFunc(tree.SplitList(values["Leaving"]), func(each string) bool { return each == endpoint })
		if v.drained {
			leaving = append(leaving, endpoint)
		}
		v.base = body.Tree.Version
		return v.send(ctx, s, tree.Edit{Changes: []tree.Change{{Path: path, Setting: "Leaving", Value: strings.Join(leaving, ", ")}}})
	}
	return usagef("endpoint %q is not in version %d of the tree", endpoint, body.Tree.Version)
}
