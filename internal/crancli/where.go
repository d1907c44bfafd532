package crancli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranexplain"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

const (
	// maxAnswer bounds the answer to a query, in bytes.
	maxAnswer = 1 << 20
	// stdinName is the name of a file that stands for the standard input.
	stdinName = "-"
)

type whereCommand struct {
	Entry   string        `help:"Address of the metrics endpoint of an entry instance of the job service." required:""`
	Host    string        `help:"Host of the submission." required:""`
	Path    string        `help:"Path of the submission, with or without the id of a job." required:""`
	Job     string        `help:"File with the body of the submission; - for the standard input." required:""`
	Tenant  string        `help:"Name of the tenant that would submit the job. Required unless the queue is public."`
	JSON    bool          `help:"Print JSON." name:"json"`
	Timeout time.Duration `help:"How long to wait for the answer." default:"10s"`
}

// Run prints where the job would go.
func (c *whereCommand) Run(ctx context.Context, o *output) error {
	body, err := readFile(c.Job)
	if err != nil {
		return usageError{fmt.Errorf("read the job: %w", err)}
	}
	base, err := url.Parse(c.Entry)
	if err != nil || base.Host == "" {
		return usageError{fmt.Errorf("%q is no address; give that of the metrics endpoint as http://IP:port", c.Entry)}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	answer, err := c.ask(ctx, base, body)
	if err != nil {
		return err
	}
	if err := c.print(o.out, answer); err != nil {
		return err
	}
	if answer.Refused != "" {
		return errors.New(answer.Refused)
	}
	return nil
}

// ask sends the query. A query changes nothing, so that an unknown outcome is a failure like any other.
func (c *whereCommand) ask(ctx context.Context, base *url.URL, body []byte) (*cranexplain.Answer, error) {
	at := base.JoinPath("explain")
	at.RawQuery = url.Values{"host": {c.Host}, "path": {c.Path}, "tenant": {c.Tenant}}.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, at.String(), bytes.NewReader(body))
	if err != nil {
		return nil, usageError{err}
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, cranfault.New(cranfault.Isolated, "check the address, or ask another entry instance", "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, cranfault.New(cranfault.Isolated, "ask again", "read the answer: %v", err)
	}
	var answer cranexplain.Answer
	isJSON := strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json")
	if err := json.Unmarshal(data, &answer); err != nil || !isJSON || resp.StatusCode != http.StatusOK && answer.Refused == "" {
		return nil, cranfault.New(cranfault.Malformed, "check that this is the metrics endpoint of an entry instance of this version",
			"unexpected answer with status %d", resp.StatusCode)
	}
	return &answer, nil
}

func (c *whereCommand) print(out io.Writer, a *cranexplain.Answer) error {
	if !c.JSON {
		return a.Write(out)
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(a)
}

func readFile(name string) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
