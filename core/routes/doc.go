// Package routes holds the request routes of a deployment: which host name and
// path lead to which services, and what each route asks of its requests.
//
// Operators publish a whole set of routes as one document under a version of
// their own. The document is kept as it was written, so that it reads back
// unchanged; an adapter decodes it once per process into the table here. A
// table never changes: the next version is another table.
package routes
