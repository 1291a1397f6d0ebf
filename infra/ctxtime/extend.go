package ctxtime

import (
	"context"
	"time"
)

// Extend returns a context that ends d after ctx ends. It is for work that a
// planned stop, which begins when ctx ends, must complete.
func Extend(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	extended, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		Sleep(extended, d)
		cancel()
	})
	return extended, func() {
		stop()
		cancel()
	}
}
