package certs_test

import (
	"crypto/tls"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"clementinelock/io/certs"
)

// TestReload checks that a reissued certificate is used without a restart, and that a file that can't be parsed is
// reported and leaves the former certificate in use.
func TestReload(t *testing.T) {
	folder := t.TempDir()
	issue := func() {
		if err := certs.Issue(folder, "h", certs.Hosts, nil, time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	if err := certs.MakeAuthority(folder, "test"); err != nil {
		t.Fatal(err)
	}
	issue()
	var reported error
	keys := &certs.Keys{
		Files:   certs.Files{Certificate: filepath.Join(folder, "h.crt"), Key: filepath.Join(folder, "h.key"), Authority: filepath.Join(folder, certs.AuthorityFile)},
		OnError: func(err error) { reported = errors.Join(reported, err) },
	}
	if err := keys.Load(); err != nil {
		t.Fatal(err)
	}
	config := keys.Config(nil, certs.Hosts)
	// Keys checks its files at most once per second.
	serial := func() string {
		time.Sleep(1100 * time.Millisecond)
		pair, err := config.GetCertificate(&tls.ClientHelloInfo{})
		if err != nil {
			t.Fatal(err)
		}
		return pair.Leaf.SerialNumber.String()
	}
	first := serial()
	issue()
	second := serial()
	if first == second {
		t.Fatal("the reissued certificate is not used")
	}
	if err := os.WriteFile(filepath.Join(folder, "h.crt"), []byte("not a certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	if third := serial(); third != second || reported == nil {
		t.Fatalf("a file that can't be parsed changes the certificate, or no error is reported: %v", reported)
	}
}
