package cranadmin

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// AllowPrefixes returns a handler that passes on requests from addresses within
// the prefixes. It refuses other requests with status 403 and a fault of kind
// cranfault.UnknownPeer, and calls onRefusal for each.
func AllowPrefixes(prefixes []netip.Prefix, onRefusal func(cranfault.Kind), next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := checkAddress(prefixes, r.RemoteAddr)
		if fault == nil {
			next.ServeHTTP(w, r)
			return
		}
		onRefusal(fault.Kind())
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(httpStatus(fault.Kind()))
		// An error means that the client has closed the connection.
		_ = json.NewEncoder(w).Encode(newWireFault(fault))
	})
}

func checkAddress(prefixes []netip.Prefix, remote string) *cranfault.Fault {
	a, err := netip.ParseAddrPort(remote)
	if err == nil {
		address := a.Addr().Unmap().WithZone("")
		for _, p := range prefixes {
			if p.Contains(address) {
				return nil
			}
		}
	}
	return cranfault.New(cranfault.UnknownPeer, "send the request from an address that adminAllow includes, or add this address to adminAllow",
		"%s may not use the admin address", remote)
}
