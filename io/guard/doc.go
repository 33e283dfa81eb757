// Package guard bounds what the connections to an http.Server hold together.
//
// Headers and bodies are counted in a budget (core/hold) before they are kept.
// When the budget or the number of connections is used up, connections that
// wait for their client give way, those that hold most for longest first;
// requests whose handler runs stay.
package guard
