package cranplatform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// appendRequest is the body of an append request.
type appendRequest struct {
	Payloads [][]byte `json:"payloads"`
}

// appendResponse is the response to an append.
type appendResponse struct {
	First uint64 `json:"first"`
	Next  uint64 `json:"next"`
}

// listResponse is the response to a request for the list of instances.
type listResponse struct {
	Instances []Instance `json:"instances"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	call := call{
		service: logService,
		method:  http.MethodPost,
		path:    recordsPath(stream),
		timeout: c.timeout,
	}
	result, err := exchange[appendResponse](ctx, c, call, appendRequest{Payloads: payloads})
	if err != nil {
		return 0, err
	}
	if result.Next-result.First != uint64(len(payloads)) {
		return 0, cranfault.New(cranfault.Malformed, "read to see whether it took effect; report it to the platform",
			"the response to an append of %d payloads has the offsets %d to %d", len(payloads), result.First, result.Next)
	}
	return result.First, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, maxRecords int, waitMs int) (Batch, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatUint(from, 10))
	query.Set("max", strconv.Itoa(maxRecords))
	query.Set("waitMs", strconv.Itoa(waitMs))
	call := call{
		service: logService,
		method:  http.MethodGet,
		path:    recordsPath(stream) + "?" + query.Encode(),
		timeout: c.timeout + time.Duration(waitMs)*time.Millisecond,
	}
	batch, err := exchange[Batch](ctx, c, call, nil)
	if err != nil {
		return Batch{}, err
	}
	if err := checkBatch(batch, from); err != nil {
		return Batch{}, err
	}
	return batch, nil
}

// checkBatch returns an error if the offsets of a batch are not consecutive, since
// records would be skipped.
func checkBatch(batch Batch, from uint64) error {
	for n, r := range batch.Records {
		if r.Offset != from+uint64(n) {
			return cranfault.New(cranfault.Malformed, "read again; report it to the platform",
				"the response to a read from offset %d has offset %d instead of %d", from, r.Offset, from+uint64(n))
		}
	}
	return nil
}

// Instances implements Fleet.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	call := call{service: fleetService, method: http.MethodGet, path: "/instances", timeout: c.timeout}
	result, err := exchange[listResponse](ctx, c, call, nil)
	return result.Instances, err
}

// Act implements Fleet.
func (c *Client) Act(ctx context.Context, action Action) error {
	call := call{service: fleetService, method: http.MethodPost, path: "/actions", timeout: c.timeout}
	_, err := exchange[ActionStatus](ctx, c, call, action)
	return err
}

// ActionStatus implements Fleet.
func (c *Client) ActionStatus(ctx context.Context, id string) (ActionStatus, error) {
	path := "/actions/" + url.PathEscape(id)
	call := call{service: fleetService, method: http.MethodGet, path: path, timeout: c.timeout}
	return exchange[ActionStatus](ctx, c, call, nil)
}

// Register adds an instance to the platform's list, also one that was removed before.
func (c *Client) Register(ctx context.Context, instance Instance) error {
	call := call{service: fleetService, method: http.MethodPost, path: "/instances", timeout: c.timeout}
	_, err := exchange[struct{}](ctx, c, call, instance)
	return err
}

// Deregister tells the platform that an instance is about to be removed.
func (c *Client) Deregister(ctx context.Context, id string) error {
	path := "/instances/" + url.PathEscape(id)
	call := call{service: fleetService, method: http.MethodDelete, path: path, timeout: c.timeout}
	_, err := exchange[struct{}](ctx, c, call, nil)
	return err
}

func recordsPath(stream string) string {
	return "/streams/" + url.PathEscape(stream) + "/records"
}
