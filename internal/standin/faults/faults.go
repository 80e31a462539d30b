// Package faults switches the failures of a stand-in on and off.
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

const silenceDelay = 50 * time.Millisecond

// Faults implements wire.Faults and applies the faults to Twirp calls.
type Faults struct {
	// Silence, if set, is called when open connections are to go silent.
	Silence func()

	mu       sync.Mutex
	settings *wire.FaultSettings
	calls    int64
	random   *rand.Rand
}

// Set implements wire.Faults. It replaces every switch and returns the state with the call count.
func (f *Faults) Set(_ context.Context, settings *wire.FaultSettings) (*wire.FaultSettings, error) {
	if settings.GetSilence() && f.Silence != nil {
		// The answer to this very call goes out first.
		time.AfterFunc(silenceDelay, f.Silence)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = settings
	out := proto.Clone(settings).(*wire.FaultSettings)
	out.Calls = f.calls
	return out, nil
}

// Now returns the switches in force; never nil.
func (f *Faults) Now() *wire.FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings == nil {
		return &wire.FaultSettings{}
	}
	return f.settings
}

// Interceptor applies refusal, delay and lost answers to calls.
func (f *Faults) Interceptor(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		if err := f.Before(ctx, isWrite(ctx)); err != nil {
			return nil, err
		}
		answer, err := next(ctx, request)
		if err == nil && f.Loses() {
			return nil, twirp.NewError(twirp.Internal, "the answer was lost")
		}
		return answer, err
	}
}

// Before waits out the delay and returns the refusal, if one is switched on.
func (f *Faults) Before(ctx context.Context, write bool) error {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	set := f.Now()
	if wait := set.GetDelay().AsDuration(); wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if set.GetRefuse() || (write && set.GetRefuseWrites()) {
		return twirp.NewError(twirp.Unavailable, "refused").WithMeta("effect", "none")
	}
	return nil
}

// Loses reports whether the next answer is lost after its effect.
func (f *Faults) Loses() bool {
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

// Handler serves the switches beside another handler.
func (f *Faults) Handler(rest http.Handler) http.Handler {
	control := wire.NewFaultsServer(f)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, control.PathPrefix()) {
			control.ServeHTTP(w, r)
			return
		}
		rest.ServeHTTP(w, r)
	})
}
