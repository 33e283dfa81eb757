// Package certs makes a cluster's own certificate authority and the
// certificates and keys of its hosts and operators, and loads them for mutual
// TLS. Changed files are reloaded without a restart. Hosts in deployments
// without an authority use self-signed certificates, and peers do not verify
// the names in them.
package certs
