package cranadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// Client calls the admin address of an entry instance. The methods that propose a
// change return the offset of the accepted record.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for an admin address, given as an http URL.
func NewClient(base string) *Client { return &Client{base: base, http: &http.Client{}} }

// Status returns the state of the fleet as the entry instance knows it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return exchange[Status](ctx, c, http.MethodGet, "/status", nil)
}

// Explain returns what blocks an instance or a wave. An empty subject stands for
// all instances and waves.
func (c *Client) Explain(ctx context.Context, subject string) ([]cranstate.Blocker, error) {
	return exchange[[]cranstate.Blocker](ctx, c, http.MethodGet, "/explain?subject="+url.QueryEscape(subject), nil)
}

// Publish proposes a configuration that is based on the revision base.
func (c *Client) Publish(ctx context.Context, base uint64, config []byte) (uint64, error) {
	return c.propose(ctx, "/publish", publishRequest{Base: base, Config: string(config)})
}

// Drain proposes to drain and reboot an instance.
func (c *Client) Drain(ctx context.Context, instance string) (uint64, error) {
	return c.propose(ctx, "/stop", stopRequest{Instance: instance, Kind: cranstate.StopReboot})
}

// Move proposes to move an instance to another pool.
func (c *Client) Move(ctx context.Context, instance, pool string) (uint64, error) {
	return c.propose(ctx, "/stop", stopRequest{Instance: instance, Kind: cranstate.StopMove, Pool: pool})
}

// CancelStop returns a cordoned instance to service.
func (c *Client) CancelStop(ctx context.Context, instance string) (uint64, error) {
	return c.propose(ctx, "/cancel", cancelRequest{Instance: instance})
}

// StartWave starts a maintenance wave over pools.
func (c *Client) StartWave(ctx context.Context, pools []string, maxFailures int) (uint64, error) {
	return c.propose(ctx, "/wave", waveRequest{Pools: pools, MaxFailures: maxFailures})
}

// ResumeWave resumes a halted wave.
func (c *Client) ResumeWave(ctx context.Context, wave uint64) (uint64, error) {
	return c.propose(ctx, "/wave/resume", waveChangeRequest{Wave: wave})
}

// CancelWave cancels a wave.
func (c *Client) CancelWave(ctx context.Context, wave uint64) (uint64, error) {
	return c.propose(ctx, "/wave/cancel", waveChangeRequest{Wave: wave})
}

func (c *Client) propose(ctx context.Context, path string, q any) (uint64, error) {
	a, err := exchange[wireAccepted](ctx, c, http.MethodPost, path, q)
	return a.Offset, err
}

// exchange sends a request and decodes its answer. Its errors are of type
// *cranfault.Fault.
func exchange[A any](ctx context.Context, c *Client, method, path string, q any) (A, error) {
	var a A
	body, err := json.Marshal(q)
	if err != nil {
		return a, cranfault.New(cranfault.Invalid, "report this as a bug in the program", "%v", err)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return a, cranfault.New(cranfault.Invalid, "give the admin address as http://IP:port", "%v", err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return a, cranfault.New(cranfault.Timeout, "try another entry instance; the proposal may have been accepted, so look at the status", "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, cranfault.New(cranfault.Timeout, "look at the status; the proposal may have been accepted", "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		return a, decodeFault(resp.StatusCode, data)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, cranfault.New(cranfault.Malformed, "use the same version for the client and the entry instance", "decode the answer: %v", err)
	}
	return a, nil
}

func decodeFault(status int, data []byte) error {
	var w wireFault
	if err := json.Unmarshal(data, &w); err != nil || w.Kind == "" {
		return cranfault.New(cranfault.Malformed, "check that this is the admin address of an entry instance", "unexpected answer with status %d", status)
	}
	return cranfault.New(w.Kind, w.Remedy, "%s", w.Message)
}
