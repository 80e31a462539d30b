package host

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/background"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const zonesText = `
[zones.z]
workers = 4
workersPerRack = 2
acceleratorsPerWorker = 8
[zones.y]
workers = 4
workersPerRack = 2
acceleratorsPerWorker = 8
[organisations.o]
[classes.lookup]
kind = "short"
[classes.gang]
kind = "gang"
[rules.r1]
organisation = "o"
class = "gang"
[rules.r2]
organisation = "o"
class = "lookup"
`

// downStore is a store that answers nothing while down is set.
type downStore struct {
	wire.Store
	down atomic.Bool
}

func (s *downStore) List(ctx context.Context, req *wire.ListRequest) (*wire.ListResponse, error) {
	if s.down.Load() {
		return nil, twirp.NewError(twirp.Unavailable, "down")
	}
	return s.Store.List(ctx, req)
}

func (s *downStore) Watch(ctx context.Context, req *wire.WatchRequest) (*wire.ListResponse, error) {
	if s.down.Load() {
		return nil, twirp.NewError(twirp.Unavailable, "down")
	}
	return s.Store.Watch(ctx, req)
}

// applyZones applies a configuration of two zones.
func applyZones(t *testing.T, h *Host) {
	t.Helper()
	req := &wire.ApplyRequest{Files: []*wire.ConfigurationFileBody{{Name: "a.toml", Content: []byte(zonesText)}}}
	if _, err := h.configuration.Apply(t.Context(), req); err != nil {
		t.Fatalf("Apply: %v", err)
	}
}

// post sends an operator's request for a cordon to a host and returns the status and the body.
func post(h *Host, body string) (int, string) {
	req := httptest.NewRequest(http.MethodPost, "/v1/operator/cordons", strings.NewReader(body))
	req.RemoteAddr = "127.0.0.1:1"
	answer := httptest.NewRecorder()
	h.handler().ServeHTTP(answer, req)
	return answer.Code, answer.Body.String()
}

// Guards against hosts that do not know a cordon, or its end, seconds later, that forget it during an outage
// of the store, and that start during one and never hear of it, or fall back to what an outdated peer says.
func TestCordonsReachAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		backend := &keyvalue.KeyValue{}
		stores := []*downStore{{Store: backend}, {Store: backend}, {Store: backend}}
		stores[2].down.Store(true)
		var hosts []*Host
		var loops []background.Loop
		for i, name := range []string{"first", "second", "late"} {
			h := newTestHost(ctx, name, stores[i])
			hosts, loops = append(hosts, h), append(loops, background.Loop{Name: name, Run: h.zones.Run})
		}
		ends := background.Start(ctx, loops...)
		heartbeat := func(from, to *Host) {
			to.membership.HandleHeartbeat(&wire.HeartbeatRequest{Sender: from.membership.Self, Cordons: from.membership.Cordons()})
		}
		expect := func(when string, want ...bool) {
			t.Helper()
			for i, h := range hosts {
				if have := h.zones.Cordon("z") != nil; have != want[i] {
					t.Errorf("%s: have cordoned %t on host %s, want %t", when, have, h.Settings.GetName(), want[i])
				}
			}
		}
		applyZones(t, hosts[0])
		if err := hosts[2].configuration.Activate(hosts[0].configuration.Manifest()); err != nil {
			t.Errorf("Activate: %v", err)
		}
		if code, body := post(hosts[0], `{"zone":"z","operator":"someone"}`); code != http.StatusOK || !strings.Contains(body, `"changed":true`) {
			t.Errorf("cordon: have %d %s, want 200 and a change", code, body)
		}
		time.Sleep(time.Second)
		expect("after the request", true, true, false)
		if ready, text := hosts[2].ready(); ready || hosts[2].zones.View() != nil {
			t.Errorf("have ready %t (%s) on a host without knowledge, want false", ready, text)
		}
		stale := hosts[0].membership.Cordons()
		heartbeat(hosts[2], hosts[1])
		heartbeat(hosts[1], hosts[2])
		expect("after heartbeats", true, true, true)
		if ready, text := hosts[2].ready(); !ready {
			t.Errorf("have not ready (%s) on a host that knows the cordons of a peer, want ready", text)
		}
		stores[1].down.Store(true)
		time.Sleep(30 * time.Second)
		if code, body := post(hosts[0], `{"zone":"z","operator":"other","lift":true}`); code != http.StatusOK {
			t.Errorf("uncordon: have %d %s, want 200", code, body)
		}
		expect("after the end, without the store", false, true, true)
		heartbeat(hosts[0], hosts[1])
		hosts[1].membership.OnCordons(stale)
		stores[2].down.Store(false)
		time.Sleep(10 * time.Second)
		expect("after a heartbeat, and with the store", false, false, false)
		cancel()
		for range ends {
		}
	})
}

// Guards against requests for unknown zones that are accepted, and against refusals without a remedy.
func TestCordonOfAnUnknownZoneIsRefused(t *testing.T) {
	h := newTestHost(t.Context(), "h", &keyvalue.KeyValue{})
	code, body := post(h, `{"zone":"x","operator":"someone"}`)
	if code != http.StatusBadRequest || !strings.Contains(body, "known zones: z") || len(h.zones.Cordons()) != 0 {
		t.Errorf("\nhave: %d %s\nwant: 400 with the known zones, and no cordon", code, body)
	}
}

// Guards against new work in a cordoned zone: a lookup is refused with the cause, a gang is sent to another
// zone if one is large enough, and otherwise waits for the zone that it would have been sent to.
func TestNewWorkAvoidsCordonedZones(t *testing.T) {
	h := newTestHost(t.Context(), "h", &keyvalue.KeyValue{})
	applyZones(t, h)
	gang := &wire.WorkRequest{Organisation: "o", Class: "gang", Workers: 2, AcceleratorsPerWorker: 8, Declared: durationpb.New(time.Second)}
	for _, step := range []struct{ request, want string }{
		{`{"zone":"y","operator":"someone"}`, "z"}, {`{"zone":"z","operator":"someone"}`, "z"}, {`{"zone":"y","operator":"someone","lift":true}`, "y"},
	} {
		post(h, step.request)
		if have, err := h.chooseZone(gang); have != step.want || err != nil {
			t.Errorf("after %s: have zone %s (%v), want %s", step.request, have, err, step.want)
		}
	}
	answer := h.serve(t.Context(), &wire.WorkRequest{Organisation: "o", Class: "lookup", Wait: durationpb.New(time.Second)})
	if answer.GetState() != wire.WorkState_WORK_STATE_NOT_RUN || !strings.Contains(answer.GetReason(), "cordoned") || answer.GetRetryAfter() == nil {
		t.Errorf("lookup: have %v, want it refused because of the cordon, with a time to return", answer)
	}
}
