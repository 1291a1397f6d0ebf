// Package atmostonce keeps non-idempotent operations from running twice.
package atmostonce
