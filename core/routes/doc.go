// Package routes holds the request routes of a deployment: which services a
// host name and path lead to, and the limits and priority of each route.
//
// Operators publish a complete set of routes as one document under a version of
// their own. The document is stored as written, so that it reads back unchanged;
// an adapter decodes it once per process into a Table. Tables are immutable: a
// new version is a new table.
package routes
