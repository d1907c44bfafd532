// Package cranpause waits for a while or until a context ends.
package cranpause

import (
	"context"
	"time"
)

// Sleep waits for d or the end of ctx.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
