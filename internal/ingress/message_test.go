package ingress_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/ingress"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Guards against: a message of a host with many empty parts is decoded to tens of times its size, or the
// largest messages that hosts send each other are refused.
func TestCheckMessage(t *testing.T) {
	largest := &wire.HeartbeatRequest{}
	for range 2000 {
		largest.Sightings = append(largest.Sightings, &wire.TargetSighting{Name: "target"})
	}
	heartbeat, err := proto.Marshal(largest)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, contentType string
		body              []byte
		ok                bool
	}{
		{"heartbeat of 2,000 targets", "application/protobuf", heartbeat, true},
		{"empty parts", "application/protobuf", bytes.Repeat([]byte{0x1a, 0}, 100000), false},
		{"empty parts in JSON", "Application/JSON", []byte(`{"sightings":[` + strings.Repeat("{},", 100000) + `{}]}`), false},
		{"not a message", "application/protobuf", []byte{0xff}, true},
	} {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set("Content-Type", c.contentType)
		if err := ingress.CheckMessage(r, c.body); (err == nil) != c.ok {
			t.Errorf("%s: have %v, want none: %t", c.name, err, c.ok)
		}
	}
}
