package crantraffic

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// stream is an answer that is too long to be buffered.
type stream struct {
	status int
	header http.Header
	length int64 // bytes of the whole body, -1 if the target didn't say
	rest   io.Reader
	body   io.Closer
	once   sync.Once
	closed chan struct{}
	whole  bool // set before closed is closed
}

func newStream(res *http.Response, header http.Header, head []byte) *stream {
	return &stream{
		status: res.StatusCode,
		header: header,
		length: res.ContentLength,
		rest:   io.MultiReader(bytes.NewReader(head), res.Body),
		body:   res.Body,
		closed: make(chan struct{}),
	}
}

// copyTo copies the whole body. Its error is the target's or the writer's.
func (s *stream) copyTo(w io.Writer) error {
	_, err := io.Copy(w, s.rest)
	s.close(err == nil)
	return err
}

// drain reads the rest for nobody.
func (s *stream) drain() { _ = s.copyTo(io.Discard) }

func (s *stream) close(whole bool) {
	s.once.Do(func() {
		s.whole = whole
		_ = s.body.Close()
		close(s.closed)
	})
}
