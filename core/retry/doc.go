// Package retry bounds how many extra attempts a service's requests may make.
package retry
