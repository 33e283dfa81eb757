// Package plots draws what operators and reports compare.
package plots
