// Package deploy writes everything that a cluster's hosts need from one tree:
// the authority, certificates and a settings file per host.
package deploy
