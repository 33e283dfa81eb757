// Package config reads a host's settings and operators' trees from TOML, and
// checks them completely before anything starts. Errors name the file and,
// where they are known, the line, the key and what was expected.
package config
