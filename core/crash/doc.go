// Package crash finds requests that crash the endpoints that run them. Callers repeat such a request with the same
// content, at any entry host, so that it must be recognised by its content and judged by what all hosts have seen.
package crash
