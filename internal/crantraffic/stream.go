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
	status   int
	header   http.Header
	length   int64 // bytes of the whole body, -1 if unknown
	rest     io.Reader
	body     io.Closer
	once     sync.Once
	closed   chan struct{}
	complete bool // the whole body was read; set before closed is closed
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

// copyTo copies the whole body. If the writer fails, the rest of the body is
// still read, so that the end of the run is detected. The error is from the
// target or from the writer.
func (s *stream) copyTo(w io.Writer) error {
	out := &sink{to: w}
	_, err := io.Copy(out, s.rest)
	s.close(err == nil)
	return errors.Join(err, out.err)
}

// drain reads and discards the rest of the body.
func (s *stream) drain() { _ = s.copyTo(io.Discard) }

// sink writes until the first error and discards the rest.
type sink struct {
	to  io.Writer
	err error
}

// Write never fails. It stores the first error in err.
func (k *sink) Write(p []byte) (int, error) {
	if k.err == nil {
		_, k.err = k.to.Write(p)
	}
	return len(p), nil
}

func (s *stream) close(whole bool) {
	s.once.Do(func() {
		s.complete = whole
		_ = s.body.Close()
		close(s.closed)
	})
}
