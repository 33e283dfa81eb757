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

// Files holds the paths of a process's certificate, its key and the authority that it trusts.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Keys holds a loaded certificate, key and authority, and reloads them when their files change.
type Keys struct {
	Files Files
	// OnError is called when changed files can't be loaded; the former keys stay in use.
	OnError func(error)

	mutex     sync.Mutex
	checkedAt time.Time
	modTime   time.Time
	pair      *tls.Certificate
	pool      *x509.CertPool
}

// Load reads the files. It returns an error if the certificate has expired or the authority did not sign it.
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
		return fmt.Errorf("file %q contains no certificate", k.Files.Authority)
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

// verify returns an error that names the certificate if it has expired, with the date, or if the authority in the
// pool did not sign it.
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

// current returns the keys in use. It checks at most once per recheckInterval whether the files have changed.
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

// Config returns a configuration for mutual TLS. It accepts peers whose certificate is signed by the authority and
// has one of the organisational units.
func (k *Keys) Config(protocols []string, units ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		ClientAuth: tls.RequireAnyClientCert,
		// A host's name is not its address, so VerifyConnection verifies the chain in place of the standard check.
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
		return fmt.Errorf("peer sent no certificate")
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
	return fmt.Errorf("certificate of %q has the organisational units %v, expected one of %v", leaf.Subject.CommonName, leaf.Subject.OrganizationalUnit, units)
}

// PeerName returns the common name in the peer's certificate, empty if it has none.
func PeerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 {
		return ""
	}
	return state.PeerCertificates[0].Subject.CommonName
}
