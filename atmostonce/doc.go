// Package atmostonce prevents non-idempotent operations from running twice. It
// provides the operation id, which names the only target incarnation that may
// run the operation, and the operation table of a target process. The table has
// no I/O and no clock.
package atmostonce
