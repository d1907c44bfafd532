package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// queuePath is the path of the queue itself; a GET returns the number of its pending jobs.
const queuePath = "/q/"

// showMissingKey sends a request without a key.
func showMissingKey(ctx context.Context, s *service, c *standin.Caller, out io.Writer) error {
	status, _ := c.Call(ctx, http.MethodGet, s.entries[0], queuePath, nil)
	if status != http.StatusUnauthorized {
		return eris.Errorf("a request without a key was answered %d instead of %d", status, http.StatusUnauthorized)
	}
	_, err := fmt.Fprintf(out, "A request without a key is answered %d.\n\n", status)
	return err
}

// replaceKey replaces the key of a tenant in the order that leaves no gap: add the new key, wait until all entry instances
// accept it, let the callers use it, and only then remove the old one.
func replaceKey(ctx context.Context, s *service, c *standin.Caller, tenants []*tenant, t *tenant, next string) (string, error) {
	old := t.keys[0]
	t.keys = []string{old, next}
	s.publish(tenants)
	accepted, err := s.awaitStatus(ctx, c.WithKey(next), http.StatusOK, standin.ConfigBound)
	if err != nil {
		return "", eris.Wrapf(err, "the new key of %s", t.name)
	}
	if _, err := s.awaitStatus(ctx, c.WithKey(old), http.StatusOK, 0); err != nil {
		return "", eris.Wrapf(err, "the old key of %s, which is still in use", t.name)
	}
	t.useKey(next)
	t.keys = []string{next}
	s.publish(tenants)
	removed, err := s.awaitStatus(ctx, c.WithKey(old), http.StatusUnauthorized, standin.RevokeBound)
	if err != nil {
		return "", eris.Wrapf(err, "the old key of %s", t.name)
	}
	return fmt.Sprintf("The key of %s was replaced during the burst. All entry instances accepted the new key %d ms after\n"+
		"it was published (bound: %d ms), and refused the old one %d ms after its removal (bound: %d ms).\n",
		t.name, accepted.Milliseconds(), standin.ConfigBound.Milliseconds(), removed.Milliseconds(), standin.RevokeBound.Milliseconds()), nil
}

// awaitStatus waits until every entry instance answers a request of c with a status, and returns how long that took. With
// a bound of 0, the first answers must have that status.
func (s *service) awaitStatus(ctx context.Context, c *standin.Caller, status int, bound time.Duration) (time.Duration, error) {
	begin := time.Now()
	for _, entry := range s.entries {
		for {
			sent := time.Now()
			got, _ := c.Call(ctx, http.MethodGet, entry, queuePath, nil)
			if got == status {
				break
			}
			if sent.Sub(begin) >= bound || ctx.Err() != nil {
				return 0, eris.Errorf("answered %d instead of %d after %v", got, status, sent.Sub(begin).Round(time.Millisecond))
			}
			cranpause.Sleep(ctx, pollInterval)
		}
	}
	return time.Since(begin), nil
}
