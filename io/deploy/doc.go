// Package deploy writes the files of a cluster from one tree: the authority,
// the certificates and a settings file per host.
package deploy
