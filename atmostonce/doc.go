// Package atmostonce keeps non-idempotent operations from running twice. It
// holds the operation id, which names the one target incarnation that may run
// it, and the operation table of a target process. The table has no I/O and no
// clock.
package atmostonce
