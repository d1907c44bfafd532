package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranpack"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// EncodedConfig is a configuration in its canonical encoding. A record carries it
// compressed: the encoding is repetitive, and every entry instance reads every
// configuration.
type EncodedConfig []byte

// MarshalCBOR compresses the configuration.
func (p EncodedConfig) MarshalCBOR() ([]byte, error) {
	compressed, err := cranpack.Pack(p)
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(compressed)
}

// UnmarshalCBOR decompresses the configuration, up to cranfleet.MaxEncodedBytes.
func (p *EncodedConfig) UnmarshalCBOR(data []byte) error {
	var compressed []byte
	if err := decMode.Unmarshal(data, &compressed); err != nil {
		return err
	}
	plain, err := cranpack.Unpack(compressed, cranfleet.MaxEncodedBytes)
	*p = plain
	return err
}
