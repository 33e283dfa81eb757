// Package trial runs whole deployments in one process for experiments: the demo
// for new users, the benchmarks, and the other verbs of clementinelab.
package trial
