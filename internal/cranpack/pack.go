package cranpack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Pack compresses data.
func Pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// Unpack expands what Pack returned. It fails with cranfault.TooLarge when
// that is over bound bytes, and with cranfault.Malformed on anything else
// that Pack cannot have returned.
func Unpack(packed []byte, bound int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, int64(bound)+1))
	if err != nil {
		return nil, cranfault.New(cranfault.Malformed, "find the writer and update it", "compressed data: %v", err)
	}
	if len(data) > bound {
		return nil, cranfault.New(cranfault.TooLarge, "send less at once", "expanded data is over %d bytes", bound)
	}
	return data, nil
}
