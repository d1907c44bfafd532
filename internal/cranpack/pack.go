package cranpack

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Pack compresses data with DEFLATE.
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

// Unpack decompresses data that Pack returned. It fails with cranfault.TooLarge if the
// result is longer than maxBytes, and with cranfault.Malformed if Pack can't have
// returned the data.
func Unpack(packed []byte, maxBytes int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, int64(maxBytes)+1))
	if err != nil {
		return nil, cranfault.New(cranfault.Malformed, "find the sender of the data and update it", "decompress data: %v", err)
	}
	if len(data) > maxBytes {
		return nil, cranfault.New(cranfault.TooLarge, "send less data at once", "the decompressed data exceeds %d bytes", maxBytes)
	}
	return data, nil
}
