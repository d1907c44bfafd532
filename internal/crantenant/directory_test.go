package crantenant

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// TestAuthenticate guards against a key that is accepted for no tenant or for another one.
func TestAuthenticate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9]{1,20}`), 2, 40, rapid.ID[string]).Draw(t, "keys")
		var entries []Entry
		owners := map[string]string{}
		for i, key := range keys[1:] {
			name := fmt.Sprintf("t%d", i%7)
			if i < 7 {
				entries = append(entries, Entry{Tenant: Tenant{Name: name, Weight: 1}})
			}
			entries[i%7].Keys = append(entries[i%7].Keys, key)
			owners[key] = name
		}
		d, err := New(entries)
		require.NoError(t, err)
		require.Equal(t, len(owners), d.Keys())
		for _, key := range keys {
			tenant, known := d.Authenticate(key)
			require.Equal(t, owners[key] != "", known)
			if known {
				require.Equal(t, owners[key], tenant.Name)
				require.Same(t, d.Tenant(tenant.Name), tenant)
			}
		}
	})
}

// TestInvalidTenantsAreRefused guards against a configuration that would let a caller pass as
// another tenant or take all memory. The message must name the tenant and no key.
func TestInvalidTenantsAreRefused(t *testing.T) {
	const key = "secret-key"
	valid := Entry{Tenant: Tenant{Name: "a", Weight: 2}, Keys: []string{key}}
	change := func(f func(*Entry)) []Entry {
		e := Entry{Tenant: Tenant{Name: "b", Weight: 1}, Keys: []string{"other"}}
		f(&e)
		return []Entry{valid, e}
	}
	for name, entries := range map[string][]Entry{
		"same key":        change(func(e *Entry) { e.Keys = []string{key} }),
		"same name":       change(func(e *Entry) { e.Name = "a" }),
		"no name":         change(func(e *Entry) { e.Name = "" }),
		"long name":       change(func(e *Entry) { e.Name = strings.Repeat("b", maxName+1) }),
		"empty key":       change(func(e *Entry) { e.Keys = []string{""} }),
		"long key":        change(func(e *Entry) { e.Keys = []string{strings.Repeat("k", MaxKeyBytes+1)} }),
		"negative weight": change(func(e *Entry) { e.Weight = -1 }),
		"infinite weight": change(func(e *Entry) { e.Weight = math.Inf(1) }),
		"no number":       change(func(e *Entry) { e.Weight = math.NaN() }),
		"negative cap":    change(func(e *Entry) { e.Cap.CPU = -1 }),
		"huge cap":        change(func(e *Entry) { e.Cap.Memory = cranjob.MaxResource + 1 }),
		"many tenants":    make([]Entry, MaxTenants+1),
	} {
		_, err := New(entries)
		require.Equal(t, cranfault.Invalid, cranfault.KindOf(err), name)
		require.NotContains(t, err.Error(), key, name)
	}
	_, err := New(change(func(e *Entry) { e.Keys = []string{"twice", "twice"} }))
	require.NoError(t, err, "a key that is repeated within a tenant is harmless")
}

// TestNoDirectory guards against a panic where a configuration has no tenants.
func TestNoDirectory(t *testing.T) {
	var d *Directory
	_, known := d.Authenticate("x")
	require.False(t, known)
	require.Nil(t, d.Tenant("x"))
	require.Empty(t, d.Names())
}
