// Package certs makes a cluster's own certificate authority and the
// certificates and keys of its hosts and operators, and loads them for mutual
// TLS. Changed files are reloaded without a restart. Deployments without an
// authority use self-signed certificates, by which names are not verified.
package certs
