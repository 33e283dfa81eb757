package shell

import (
	"context"
	"flag"
	"fmt"
	"net"
	"time"

	"clementinelock/io/certs"
)

var authorityVerb = Verb{
	Name: "make-authority", Usage: "make-authority [flags] FOLDER", Short: "make a cluster's own certificate authority",
	New: func(flags *flag.FlagSet) Runner {
		v := &authorityMaker{}
		flags.StringVar(&v.name, "name", "clementinelock", "name of the authority")
		return v
	},
}

type authorityMaker struct {
	name string
}

// Run writes the authority's certificate and key.
func (v *authorityMaker) Run(_ context.Context, s *Session, args []string) error {
	if len(args) != 1 {
		return usagef("expected one FOLDER")
	}
	if err := certs.MakeAuthority(args[0], v.name); err != nil {
		return usagef("%v", err)
	}
	_, err := fmt.Fprintf(s.Out, "authority %q is in %s\n", v.name, args[0])
	return err
}

var issueVerb = Verb{
	Name: "issue", Usage: "issue [flags] FOLDER NAME", Short: "issue a host's or an operator's certificate with the folder's authority",
	New: func(flags *flag.FlagSet) Runner {
		v := &issuer{}
		flags.BoolVar(&v.operator, "operator", false, "issue for an operator instead of a host")
		flags.StringVar(&v.address, "address", "", "IP address that callers reach the host at over TLS")
		flags.DurationVar(&v.validity, "valid", 90*24*time.Hour, "how long the certificate is valid")
		return v
	},
}

type issuer struct {
	operator bool
	address  string
	validity time.Duration
}

// Run writes the certificate and its key.
func (v *issuer) Run(_ context.Context, s *Session, args []string) error {
	if len(args) != 2 {
		return usagef("expected FOLDER and NAME")
	}
	unit := certs.Hosts
	if v.operator {
		unit = certs.Operators
	}
	var addresses []net.IP
	if v.address != "" {
		ip := net.ParseIP(v.address)
		if ip == nil {
			return usagef("flag --address: %q is not an IP address", v.address)
		}
		addresses = append(addresses, ip)
	}
	if err := certs.Issue(args[0], args[1], unit, addresses, v.validity); err != nil {
		return usagef("%v", err)
	}
	_, err := fmt.Fprintf(s.Out, "certificate of %q is in %s, valid for %s\n", args[1], args[0], v.validity)
	return err
}
