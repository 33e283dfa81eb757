// Package certs makes a cluster's own certificate authority and the keys of
// its hosts and operators, and loads them for mutual TLS. Files that change
// are taken up without a restart.
package certs
