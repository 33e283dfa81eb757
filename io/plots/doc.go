// Package plots draws charts for operators and for reports of experiments.
package plots
