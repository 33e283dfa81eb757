package shell

import (
	"context"
	"flag"
	"fmt"
)

var dumpVerb = Verb{
	Name: "dump", Usage: "dump [flags]", Short: "write the whole state of the first reachable host of --hosts as JSON",
	New: func(*flag.FlagSet) Runner { return &dumper{} },
}

type dumper struct{}

// Run prints the state of the first host that can be reached.
func (v *dumper) Run(ctx context.Context, s *Session, _ []string) error {
	if err := s.prepareClient(); err != nil {
		return err
	}
	dump, err := s.Client.Dump(ctx)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(s.Out, string(dump))
	return err
}
