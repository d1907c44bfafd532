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

// processController controls a target process over HTTP.
type processController struct {
	client  *http.Client
	baseURL string
}

// ProcessControllers finds the controllers of target instances that are
// processes of their own, for WithControllerLookup. Instances of another role, or
// without an address, have none.
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
		return InProgressUnknown, eris.Wrap(err, "encode the reboot")
	}
	return p.post(ctx, "/control/reboot", body)
}

// Stop implements Controller.
func (p *processController) Stop(ctx context.Context) (int, error) {
	return p.post(ctx, "/control/stop", nil)
}

// post sends a control call and returns the requests that it cut off.
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
			"%s answered with status %d", path, response.StatusCode)
	}
	answer, err := decodeJSON[inProgressAnswer](response.Body, maxSmallBody)
	return answer.InProgress, err
}
