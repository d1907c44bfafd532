package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// recordBytes is `record_bytes` of the settings: the limit of one record.
const recordBytes = 262144

// store is the project's stand-in of the platform's store, with the limit of a record's size.
type store struct {
	*standin.Store
	record *record

	mu       sync.Mutex
	tooLarge int
}

func newStore(r *record) *store { return &store{Store: standin.NewStore(), record: r} }

// ServeHTTP refuses an append with a record above the limit, and passes any other call on.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/log-append" {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for rest := body; len(rest) >= 4; {
			n := int(binary.BigEndian.Uint32(rest))
			if n > recordBytes {
				s.mu.Lock()
				s.tooLarge++
				first := s.tooLarge == 1
				s.mu.Unlock()
				if first {
					s.record.add("store refuses an append to %s, partition %s: a record has %d bytes, %d are allowed",
						r.URL.Query().Get("topic"), r.URL.Query().Get("part"), n, recordBytes)
				}
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			rest = rest[4+n:]
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	s.Store.ServeHTTP(w, r)
}

// refusals returns how many appends were refused because of a record's size.
func (s *store) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge
}

// putJSON writes a record as the operator or a runner does.
func (s *store) putJSON(topic, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Put(topic, key, text)
}
