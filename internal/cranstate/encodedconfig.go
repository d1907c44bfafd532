package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranpack"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// EncodedConfig is a printed configuration. A record carries it compressed: it
// repeats itself a lot, and every entry reads every configuration.
type EncodedConfig []byte

// MarshalCBOR compresses the configuration.
func (p EncodedConfig) MarshalCBOR() ([]byte, error) {
	packed, err := cranpack.Pack(p)
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(packed)
}

// UnmarshalCBOR expands the configuration, within the bound of the library.
func (p *EncodedConfig) UnmarshalCBOR(data []byte) error {
	var packed []byte
	if err := decMode.Unmarshal(data, &packed); err != nil {
		return err
	}
	plain, err := cranpack.Unpack(packed, cranfleet.MaxBytes)
	*p = plain
	return err
}
