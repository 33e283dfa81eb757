// Package oper is the operators' protocol: questions and answers as JSON
// over HTTPS, on which both sides prove that the cluster's authority signed
// them.
package oper
