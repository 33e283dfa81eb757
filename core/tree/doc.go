// Package tree holds the operators' tree of settings: defaults at the root,
// then regions, availability zones and services, each inheriting from its
// parent unless it overrides.
//
// A tree is a plain map from path to setting to text, so that an edit, a
// difference and an explanation speak of the same three words. The table in
// settings.go lists every setting with its type, bounds and place; adding one
// touches that table and one field of Service.
package tree
