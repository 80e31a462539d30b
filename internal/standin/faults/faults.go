// Package faults holds the fault switches of a stand-in and applies them to its calls.
package faults

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// silenceDelay lets the answer to Set go out before open connections are silenced.
const silenceDelay = 50 * time.Millisecond

// Faults implements wire.Faults and applies the faults to Twirp calls.
type Faults struct {
	// Silence, if not nil, is called to make the open connections silent.
	Silence func()

	mu       sync.Mutex
	settings *wire.FaultSettings
	calls    int64
	random   *rand.Rand
}

// Set implements wire.Faults. It replaces all switches and returns them with the number of calls
// so far.
func (f *Faults) Set(_ context.Context, settings *wire.FaultSettings) (*wire.FaultSettings, error) {
	if settings.GetSilence() && f.Silence != nil {
		time.AfterFunc(silenceDelay, f.Silence)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = settings
	out := proto.Clone(settings).(*wire.FaultSettings)
	out.Calls = f.calls
	return out, nil
}

// Current returns the switches in force. It never returns nil.
func (f *Faults) Current() *wire.FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings == nil {
		return &wire.FaultSettings{}
	}
	return f.settings
}

// Interceptor applies the switches for refusals, delays and lost answers to Twirp calls.
func (f *Faults) Interceptor(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		if err := f.BeginCall(ctx, isWrite(ctx)); err != nil {
			return nil, err
		}
		answer, err := next(ctx, request)
		if err == nil && f.DropsAnswer() {
			return nil, twirp.NewError(twirp.Internal, "Faults.Interceptor: a fault switch dropped the answer after the call took effect")
		}
		return answer, err
	}
}

// BeginCall counts a call and applies the delay that is switched on. If calls, or writes only,
// are to be refused, it returns an Unavailable error with the metadata effect=none.
func (f *Faults) BeginCall(ctx context.Context, write bool) error {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	settings := f.Current()
	if delay := settings.GetDelay().AsDuration(); delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if settings.GetRefuse() || (write && settings.GetRefuseWrites()) {
		return twirp.NewError(twirp.Unavailable, "Faults.BeginCall: a fault switch refused the call").WithMeta("effect", "none")
	}
	return nil
}

// DropsAnswer decides at random whether the answer to a call is dropped after the call took
// effect.
func (f *Faults) DropsAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random == nil {
		f.random = rand.New(rand.NewPCG(1, 2))
	}
	return f.settings.GetLoseAnswers() > 0 && f.random.Float64() < f.settings.GetLoseAnswers()
}

func isWrite(ctx context.Context) bool {
	name, _ := twirp.MethodName(ctx)
	switch name {
	case "Put", "Delete", "Grant", "KeepAlive", "Revoke":
		return true
	}
	return false
}

// Handler serves the calls that set the switches, and passes all others to next.
func (f *Faults) Handler(next http.Handler) http.Handler {
	control := wire.NewFaultsServer(f)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, control.PathPrefix()) {
			control.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}
