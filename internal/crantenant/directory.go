package crantenant

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"maps"
	"slices"
)

// Bounds of a directory. An entry instance with the least memory holds a directory of that
// size twice while it replaces one by another.
const (
	// MaxTenants is the maximum number of tenants.
	MaxTenants = 10_000
	// MaxKeys is the maximum number of keys of all tenants together.
	MaxKeys = 50_000
	// MaxKeyBytes is the maximum length of a key in bytes.
	MaxKeyBytes = 512
)

// Entry is a tenant together with its keys.
type Entry struct {
	Tenant
	Keys []string
}

// Directory holds the tenants of one version of the configuration. It is immutable and safe
// for concurrent use.
type Directory struct {
	tenants map[string]*Tenant
	// names is sorted.
	names []string
	// credentials holds the hashes of the keys by their first bytes. The keys themselves are
	// not kept.
	credentials map[uint64][]credential
	keys        int
}

type credential struct {
	hash   [sha256.Size]byte
	tenant *Tenant
}

// New returns the directory of the given tenants. It returns a fault of kind Invalid that
// names the tenant, but no key, if a value is out of range, a name is repeated, or a key
// belongs to two tenants.
func New(entries []Entry) (*Directory, error) {
	if len(entries) > MaxTenants {
		return nil, refuse("there are %d tenants, at most %d are allowed", len(entries), MaxTenants)
	}
	d := &Directory{tenants: make(map[string]*Tenant, len(entries)), credentials: map[uint64][]credential{}}
	for i := range entries {
		if err := d.add(&entries[i]); err != nil {
			return nil, err
		}
	}
	d.names = slices.Sorted(maps.Keys(d.tenants))
	return d, nil
}

func (d *Directory) add(e *Entry) error {
	t := e.Tenant
	if err := t.validate(); err != nil {
		return err
	}
	if d.tenants[t.Name] != nil {
		return refuse("two tenants have the name %q", t.Name)
	}
	d.tenants[t.Name] = &t
	for _, key := range e.Keys {
		if key == "" || len(key) > MaxKeyBytes {
			return refuse("a key of the tenant %q has %d bytes, 1 to %d are allowed", t.Name, len(key), MaxKeyBytes)
		}
		hash := sha256.Sum256([]byte(key))
		if owner := d.find(hash); owner != nil {
			if owner.Name == t.Name {
				continue
			}
			return refuse("the tenants %q and %q have the same key", owner.Name, t.Name)
		}
		if d.keys++; d.keys > MaxKeys {
			return refuse("there are more than %d keys", MaxKeys)
		}
		at := prefix(hash)
		d.credentials[at] = append(d.credentials[at], credential{hash, &t})
	}
	return nil
}

// Authenticate returns the tenant that a key belongs to, and whether there is one. How long it
// takes doesn't depend on how much of the key is right.
func (d *Directory) Authenticate(key string) (*Tenant, bool) {
	if d == nil || key == "" || len(key) > MaxKeyBytes {
		return nil, false
	}
	t := d.find(sha256.Sum256([]byte(key)))
	return t, t != nil
}

func (d *Directory) find(hash [sha256.Size]byte) *Tenant {
	var found *Tenant
	for _, c := range d.credentials[prefix(hash)] {
		if subtle.ConstantTimeCompare(c.hash[:], hash[:]) == 1 {
			found = c.tenant
		}
	}
	return found
}

func prefix(hash [sha256.Size]byte) uint64 { return binary.BigEndian.Uint64(hash[:]) }

// Tenant returns the tenant with a name; nil if there is none, also for a nil directory.
func (d *Directory) Tenant(name string) *Tenant {
	if d == nil {
		return nil
	}
	return d.tenants[name]
}

// Names returns the names of all tenants in order. The caller must not change them.
func (d *Directory) Names() []string {
	if d == nil {
		return nil
	}
	return d.names
}

// Keys returns the number of different keys.
func (d *Directory) Keys() int {
	if d == nil {
		return 0
	}
	return d.keys
}
