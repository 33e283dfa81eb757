package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	// AuthorityFile is the name of the authority's certificate in its folder.
	AuthorityFile = "Authority.crt"
	// AuthorityKeyFile is the name of the authority's key in its folder.
	AuthorityKeyFile = "Authority.key"
	authorityYears   = 10
	keyMode          = 0o600
	folderMode       = 0o700
	serialBits       = 120
	backdate         = 5 * time.Minute // for peers whose clocks are behind
)

// The organisational units in the certificates of operators and hosts.
const (
	Operators = "Operators"
	Hosts     = "Hosts"
)

// MakeAuthority writes the certificate and key of a new authority into a folder. It returns an error if the folder
// has one.
func MakeAuthority(folder, name string) error {
	if _, err := os.Stat(filepath.Join(folder, AuthorityKeyFile)); err == nil {
		return fmt.Errorf("folder %q already has a certificate authority", folder)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := newTemplate(name, "Authority", authorityYears*365*24*time.Hour)
	if err != nil {
		return err
	}
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	return writePair(folder, AuthorityFile, AuthorityKeyFile, der, key)
}

// Issue writes a certificate, signed by the folder's authority, and its key for a host or an operator. Existing files
// are replaced.
func Issue(folder, name, unit string, addresses []net.IP, validity time.Duration) error {
	authority, signer, err := loadAuthority(folder)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := newTemplate(name, unit, validity)
	if err != nil {
		return err
	}
	template.DNSNames = []string{name}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, signer)
	if err != nil {
		return err
	}
	return writePair(folder, name+".crt", name+".key", der, key)
}

func newTemplate(name, unit string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{unit}},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(validity),
	}, nil
}

func loadAuthority(folder string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificate, err := readPEM(filepath.Join(folder, AuthorityFile))
	if err != nil {
		return nil, nil, err
	}
	authority, err := x509.ParseCertificate(certificate)
	if err != nil {
		return nil, nil, err
	}
	data, err := readPEM(filepath.Join(folder, AuthorityKeyFile))
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParseECPrivateKey(data)
	return authority, key, err
}

func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("file %q contains no PEM block", path)
	}
	return block.Bytes, nil
}

func writePair(folder, certificate, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(folder, keyFile), "EC PRIVATE KEY", keyDER); err != nil {
		return err
	}
	return writePEM(filepath.Join(folder, certificate), "CERTIFICATE", der)
}

// writePEM replaces a file by an atomic rename, since a running process may read it at any time.
func writePEM(path, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path+".new", data, keyMode); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
