package cranstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// processController is a Controller that calls a target process over HTTP.
type processController struct {
	client  *http.Client
	baseURL string
}

// ProcessControllers returns a function for WithControllerLookup. It returns a
// controller that calls the target process at an instance's address over HTTP,
// or nil for an instance of another role or without an address.
func ProcessControllers(client *http.Client) func(cranplatform.Instance) Controller {
	return func(i cranplatform.Instance) Controller {
		if i.Role != RoleTarget || i.Address == "" {
			return nil
		}
		return &processController{client: client, baseURL: "http://" + i.Address}
	}
}

// Reboot implements Controller.
func (p *processController) Reboot(ctx context.Context, down time.Duration) (int, error) {
	ms := down.Milliseconds()
	body, err := json.Marshal(rebootRequest{DownMs: &ms})
	if err != nil {
		return InProgressUnknown, eris.Wrap(err, "encode the reboot call")
	}
	return p.post(ctx, "/control/reboot", body)
}

// Stop implements Controller.
func (p *processController) Stop(ctx context.Context) (int, error) {
	return p.post(ctx, "/control/stop", nil)
}

// post sends a control call and returns the number of requests that it aborted.
func (p *processController) post(ctx context.Context, path string, body []byte) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return InProgressUnknown, eris.Wrap(err, "build the control call")
	}
	request.GetBody = nil
	response, err := p.client.Do(request)
	if err != nil {
		return InProgressUnknown, eris.Wrap(err, "send the control call")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxSmallBody))
		return InProgressUnknown, cranfault.New(cranfault.NotReady, "check the target's address",
			"the control call %s was answered with status %d", path, response.StatusCode)
	}
	decoded, err := decodeJSON[inProgressResponse](response.Body, maxSmallBody)
	return decoded.InProgress, err
}
