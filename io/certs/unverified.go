package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"time"
)

// unverifiedValidity is longer than a process runs; peers don't check it.
const unverifiedValidity = 10 * 365 * 24 * time.Hour

// Unverified is the identity of a host in a deployment without an authority: connections are encrypted, but the
// peer's name is not verified.
type Unverified struct {
	pair tls.Certificate
}

// NewUnverified returns an identity with a self-signed certificate for the host, held in memory.
func NewUnverified(name string) (*Unverified, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate(name, Hosts, unverifiedValidity)
	if err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return &Unverified{pair: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}}, nil
}

// Config returns a TLS configuration in which each side states its name without proof; the units are ignored.
func (u *Unverified) Config(protocols []string, _ ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, NextProtos: protocols, ClientAuth: tls.RequireAnyClientCert,
		InsecureSkipVerify: true, Certificates: []tls.Certificate{u.pair},
	}
}
