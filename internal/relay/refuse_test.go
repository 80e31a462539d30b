package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Guards against: a write that another host has refused unread, for its size or its parts, counts as one that may
// have taken effect.
func TestRefusedCallsHaveNoEffect(t *testing.T) {
	for _, cause := range []error{&http.MaxBytesError{Limit: 5}, errkind.Invalid.New("send less", "too many parts"), errkind.Unavailable.New("retry", "no memory")} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { Refuse(w, r, cause) }))
		_, err := wire.NewStoreRelayProtobufClient(server.URL, server.Client()).Commit(t.Context(), &wire.RelayTxn{})
		server.Close()
		if have := toFault(err); !errkind.Unavailable.Is(have) {
			t.Errorf("%v: have %v, want that nothing was done", cause, have)
		}
	}
}
