// Package tree holds the operators' tree of settings: defaults at the root,
// then regions, availability zones and services, each inheriting from its
// parent unless it overrides a setting.
//
// A tree is a map from path to setting to text, so that edits, differences and
// explanations use the same three terms. The table in settings.go lists every
// setting with its type, bounds and level; a new setting needs a row there and a
// field of Service.
package tree
