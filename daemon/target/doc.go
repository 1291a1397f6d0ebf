// Package target implements the process that runs in front of one target, an
// engine or a plain service. All requests to the target pass through this
// process, which queues them and makes the final decision on whether one may
// start.
package target
