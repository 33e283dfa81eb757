// Package oper is the operators' protocol: questions and answers as JSON over
// HTTPS with mutual TLS, in which the cluster's authority has signed the
// certificates of both sides.
package oper
