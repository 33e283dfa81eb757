// Package plan computes which share of each region's demand for a service goes
// to which region.
//
// The planner is a pure function of the tree, the measured demand and the
// previous plan: the same inputs give the same plan. It fills the nearest
// capacity first, up to a utilization that leaves the configured headroom, and
// shifts no more traffic from the previous plan than the shift caps allow.
package plan
