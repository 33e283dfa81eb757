// Package retry bounds the extra attempts, such as retries and hedges, that a service's requests may make.
package retry
