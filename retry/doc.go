// Package retry decides whether and when a failed attempt is repeated.
package retry
