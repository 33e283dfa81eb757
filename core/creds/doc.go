// Package creds identifies customers by their credentials.
//
// A deployment's configuration names its customers and the keys that each of
// them uses. Only digests of the keys are kept, so that no key gets into a log,
// a dump or an error.
package creds
