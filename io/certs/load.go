package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

const recheckInterval = time.Second

// Files names a process's certificate, its key and the authority that it trusts.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Keys are loaded files, read again when they change.
type Keys struct {
	Files Files
	// OnError is told of changed files that can't be used; the former ones stay in use.
	OnError func(error)

	mutex     sync.Mutex
	checkedAt time.Time
	modTime   time.Time
	pair      *tls.Certificate
	pool      *x509.CertPool
}

// Load reads the files; it errs on an expired certificate or one that the authority did not sign.
func (k *Keys) Load() error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.load()
}

func (k *Keys) load() error {
	pair, err := tls.LoadX509KeyPair(k.Files.Certificate, k.Files.Key)
	if err != nil {
		return fmt.Errorf("certificate %q with key %q: %w", k.Files.Certificate, k.Files.Key, err)
	}
	data, err := os.ReadFile(k.Files.Authority)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return fmt.Errorf("file %q holds no certificate", k.Files.Authority)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return err
	}
	if err := verify(leaf, pool); err != nil {
		return fmt.Errorf("certificate %q: %w", k.Files.Certificate, err)
	}
	pair.Leaf = leaf
	k.pair, k.pool, k.modTime = &pair, pool, k.newestModTime()
	return nil
}

// verify errs on an expired or a foreign certificate, by name and date.
func verify(leaf *x509.Certificate, pool *x509.CertPool) error {
	now := time.Now()
	if now.After(leaf.NotAfter) {
		return fmt.Errorf("certificate of %q expired on %s", leaf.Subject.CommonName, leaf.NotAfter.Format(time.DateOnly))
	}
	_, err := leaf.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if err != nil {
		return fmt.Errorf("certificate of %q was not signed by this cluster's authority: %w", leaf.Subject.CommonName, err)
	}
	return nil
}

func (k *Keys) newestModTime() time.Time {
	var newest time.Time
	for _, path := range []string{k.Files.Certificate, k.Files.Key, k.Files.Authority} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the keys in use, after it has looked whether the files changed.
func (k *Keys) current() (*tls.Certificate, *x509.CertPool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if time.Since(k.checkedAt) >= recheckInterval {
		k.checkedAt = time.Now()
		if k.newestModTime().After(k.modTime) {
			if err := k.load(); err != nil && k.OnError != nil {
				k.OnError(err)
			}
		}
	}
	return k.pair, k.pool
}

// Config returns a TLS configuration in which both sides prove that the authority signed them, as one of the units.
func (k *Keys) Config(protocols []string, units ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		ClientAuth: tls.RequireAnyClientCert,
		// Names of hosts are no addresses here, so the chain is verified below instead.
		InsecureSkipVerify: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			pair, _ := k.current()
			return pair, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := k.current()
			return pair, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.verifyPeer(state.PeerCertificates, units)
		},
	}
}

func (k *Keys) verifyPeer(chain []*x509.Certificate, units []string) error {
	if len(chain) == 0 {
		return fmt.Errorf("the other side has no certificate")
	}
	leaf := chain[0]
	_, pool := k.current()
	if err := verify(leaf, pool); err != nil {
		return err
	}
	for _, unit := range leaf.Subject.OrganizationalUnit {
		if slices.Contains(units, unit) {
			return nil
		}
	}
	return fmt.Errorf("certificate of %q is of %v; expected one of %v", leaf.Subject.CommonName, leaf.Subject.OrganizationalUnit, units)
}

// PeerName returns the name in the other side's certificate.
func PeerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}
