package cranadmin

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// AllowPrefixes returns a handler that passes on the requests of the addresses within
// the prefixes. It refuses others with status 403 and a fault of kind
// stranger, and reports each refusal to refused.
func AllowPrefixes(prefixes []netip.Prefix, refused func(cranfault.Kind), next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := checkAddress(prefixes, r.RemoteAddr)
		if fault == nil {
			next.ServeHTTP(w, r)
			return
		}
		refused(fault.Kind())
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(statusOf(fault.Kind()))
		// Whoever has gone away needs no answer.
		_ = json.NewEncoder(w).Encode(faultBody(fault))
	})
}

func checkAddress(prefixes []netip.Prefix, remote string) *cranfault.Fault {
	a, err := netip.ParseAddrPort(remote)
	if err == nil {
		from := a.Addr().Unmap().WithZone("")
		for _, p := range prefixes {
			if p.Contains(from) {
				return nil
			}
		}
	}
	return cranfault.New(cranfault.UnknownPeer, "ask from an address that adminAllow names, or add this one to the settings",
		"%s may not use the admin address", remote)
}
