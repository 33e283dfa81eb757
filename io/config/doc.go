// Package config reads a process's settings and operators' trees from TOML,
// and checks them whole before anything starts. Every error names the file,
// the line, the key and what was expected.
package config
