package crantraffic

import (
	"bytes"
	"errors"
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

// copyTo copies the whole body. If the writer fails, the body is still read to
// its end, so that the end of the run is seen. The error is the target's or the
// writer's.
func (s *stream) copyTo(w io.Writer) error {
	out := &sink{to: w}
	_, err := io.Copy(out, s.rest)
	s.close(err == nil)
	return errors.Join(err, out.err)
}

// drain reads the rest for nobody.
func (s *stream) drain() { _ = s.copyTo(io.Discard) }

// sink writes until the first error and drops what follows.
type sink struct {
	to  io.Writer
	err error
}

// Write never fails; the error is kept.
func (k *sink) Write(p []byte) (int, error) {
	if k.err == nil {
		_, k.err = k.to.Write(p)
	}
	return len(p), nil
}

func (s *stream) close(whole bool) {
	s.once.Do(func() {
		s.whole = whole
		_ = s.body.Close()
		close(s.closed)
	})
}
