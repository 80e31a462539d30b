package ingress_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/ingress"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// Guards against: a message of a host with many empty parts is decoded to tens of times its size, or the
// largest messages that hosts send each other are refused.
func TestCheckMessage(t *testing.T) {
	largest := &wire.HeartbeatRequest{}
	for range 2000 {
		largest.Sightings = append(largest.Sightings, &wire.TargetSighting{Name: "target", Leaving: true})
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

// Guards against: a message between hosts whose many empty parts are inside another message is decoded to tens of
// times its size, or a value that merely looks like one is refused.
func TestCheckMessageCountsNestedParts(t *testing.T) {
	empty := bytes.Repeat([]byte{0x0a, 0}, 100000)
	nested, err := proto.Marshal(&wire.RelayTxn{Puts: []*wire.RelayPut{{Key: "k", Value: empty}}})
	if err != nil {
		t.Fatal(err)
	}
	heartbeat := protowire.AppendBytes(protowire.AppendTag(nil, 4, protowire.BytesType), empty)
	for _, c := range []struct {
		path string
		body []byte
		ok   bool
	}{
		{wire.HostPathPrefix + "Heartbeat", heartbeat, false},
		{"/twirp/unknown", heartbeat, false},
		{wire.StoreRelayPathPrefix + "Commit", nested, true},
	} {
		r := httptest.NewRequest(http.MethodPost, c.path, nil)
		r.Header.Set("Content-Type", "application/protobuf")
		if err := ingress.CheckMessage(r, c.body); (err == nil) != c.ok {
			t.Errorf("%s: have %v, want none: %t", c.path, err, c.ok)
		}
	}
}
