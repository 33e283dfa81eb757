// Package trial runs whole deployments in one process for experiments: the
// demo that a new user starts, and the load and experiment tool's verbs.
package trial
