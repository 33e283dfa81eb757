// Package plan decides which part of each region's demand for a service goes
// to which region.
//
// The planner is a pure function of the tree, the measured demand and the
// plan before: the same inputs give the same plan. It fills the nearest
// capacity first up to a level that leaves the wanted headroom, and moves
// from the plan before by no more than the shift caps allow.
package plan
