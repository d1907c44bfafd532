package cranslot

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

func TestMessageRoundTrip(t *testing.T) {
	m := Message{wire: wireMessage{
		Asks:    []wireAsk{{Group: "web", Slots: 2, Waiting: 3}},
		Loans:   []wireLoan{{Instance: "t", Index: 1, Epoch: 2, ID: 3}},
		Returns: []wireLoan{{Instance: "t", Index: 4, Epoch: 5, ID: 6}},
		Queries: []wireQuery{{Instance: "t", Index: 7, Epoch: 8}},
		Answers: []wireAnswer{{Instance: "t", Index: 9, Epoch: 10, Held: true}},
		Spares:  []wireSpare{{Group: "web", Slots: -1}},
	}}
	for _, codec := range []struct {
		encode func(any) ([]byte, error)
		decode func([]byte, any) error
	}{{json.Marshal, json.Unmarshal}, {cbor.Marshal, cbor.Unmarshal}} {
		data, err := codec.encode(m)
		require.NoError(t, err)
		var back Message
		require.NoError(t, codec.decode(data, &back))
		require.Equal(t, m, back)
	}
}
