package intake_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/backoff"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/intake"
	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
	"github.com/eelgrasstide/eelgrasstide/internal/standin/batchstore"
	"github.com/eelgrasstide/eelgrasstide/internal/terms"
)

const (
	outageBegin = 2 * time.Second
	outageEnd   = 8 * time.Second
	// patience is how long callers try to submit a job, with up to maxRetries retries.
	patience   = 3 * time.Second
	maxRetries = 4
	slot       = 100 * time.Millisecond
	// relayNotices is the time within which a host's other calls show that the store is out.
	relayNotices = time.Second
	// noticed is the time within which a host has to notice that the store is back.
	noticed = 700 * time.Millisecond
)

// outage is the load of callers who submit jobs to many hosts while the store is out, and return as they
// are told. They don't submit a job again whose outcome is unknown.
type outage struct {
	hosts []*intake.Intake
	// wait returns how long a caller waits after a refusal.
	wait  func(backoff.Delay) time.Duration
	start time.Time

	mu sync.Mutex
	// returns counts the retries in each slot from the end of the outage on.
	returns map[time.Duration]int
	// refusedAfter and refusedLater count the refusals since the outage has ended, and since it should have
	// been noticed; lost counts the jobs of callers who gave up although they had come shortly before.
	refusedAfter, refusedLater, lost int
	accepted, unknown                int
}

// submit plays one caller.
func (o *outage) submit(number int) {
	id, priority, random := fmt.Sprint(number), []int{0, 0, 0, 1, 2}[number%5], rand.New(rand.NewPCG(1, uint64(number)))
	arrived := time.Since(o.start)
	deadline := time.Now().Add(patience)
	for attempt := 0; attempt <= maxRetries && time.Now().Before(deadline); attempt++ {
		host := o.hosts[random.IntN(len(o.hosts))]
		o.mu.Lock()
		if since := time.Since(o.start) - outageEnd; attempt > 0 && since >= 0 {
			o.returns[since/slot]++
		}
		o.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), patience*45/100)
		err := host.Submit(ctx, intake.Call{ID: id, Terms: terms.Terms{Priority: priority}, Deadline: time.Now().Add(patience)}, job(id))
		cancel()
		if !o.count(err) {
			return
		}
		delay, _ := backoff.Of(err)
		time.Sleep(o.wait(delay))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if arrived > outageEnd-2*time.Second {
		o.lost++
	}
}

// count counts an answer, and reports whether its caller returns.
func (o *outage) count(err error) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		o.accepted++
		return false
	case !errkind.Unavailable.Is(err):
		o.unknown++
		return false
	}
	if time.Since(o.start) > outageEnd {
		o.refusedAfter++
	}
	if time.Since(o.start) > outageEnd+noticed {
		o.refusedLater++
	}
	return true
}

// failing reports whether the calls that hosts make besides those of callers fail.
func (o *outage) failing() bool {
	since := time.Since(o.start)
	return since > outageBegin+relayNotices && since < outageEnd+relayNotices
}

// The load: the store is out for 6 s, 20 jobs arrive each second at 45 hosts, and callers return as they are
// told. Guards against callers who all return at once, against hosts that go on refusing when the store
// takes writes again, and against callers who give up as they are told to return too late.
func TestCallersReturnAfterAnOutageOfTheStore(t *testing.T) {
	waits := map[string]func(backoff.Delay) time.Duration{
		"after the exact time":    func(d backoff.Delay) time.Duration { return d.Exact },
		"after the whole seconds": func(d backoff.Delay) time.Duration { return time.Duration(d.Seconds) * time.Second },
	}
	for name, wait := range waits {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &batchstore.Store{}
				o := &outage{wait: wait, start: time.Now(), returns: map[time.Duration]int{}}
				for range 45 {
					host := newIntake(store)
					host.StoreFailing = o.failing
					o.hosts = append(o.hosts, host)
				}
				time.AfterFunc(outageBegin, func() { store.SetDown(true) })
				time.AfterFunc(outageEnd, func() { store.SetDown(false) })
				var callers sync.WaitGroup
				for number := 0; time.Since(o.start) < outageEnd+2*time.Second; number++ {
					callers.Go(func() { o.submit(number) })
					time.Sleep(50 * time.Millisecond)
				}
				callers.Wait()
				most := 0
				for at := range 15 {
					most = max(most, o.returns[time.Duration(at)])
				}
				t.Logf("returns: %v; refused after the end: %d; given up: %d; accepted: %d; unknown: %d", o.returns, o.refusedAfter, o.lost, o.accepted, o.unknown)
				if most > 20 {
					t.Errorf("%d callers return within 100 ms, want at most 20", most)
				}
				if o.unknown > 40 {
					t.Errorf("%d answers of unknown outcome, want at most those of the first 2 s", o.unknown)
				}
				if o.refusedLater > 0 || o.lost > 0 {
					t.Errorf("refused when the end of the outage should be known: %d; given up by those who came shortly before it: %d; want none", o.refusedLater, o.lost)
				}
			})
		})
	}
}

// slowReads is a store whose reads take some time.
type slowReads struct {
	keyvalue.Service
	latency time.Duration
}

func (s slowReads) Get(ctx context.Context, key string) (*keyvalue.Item, error) {
	select {
	case <-ctx.Done():
	case <-time.After(s.latency):
	}
	return s.Service.Get(ctx, key)
}

// Guards against refusals while the store takes writes again: only the first call has to find that out,
// and those that arrive meanwhile wait for it. A store that has become slow must not be taken for one
// that is down.
func TestCallsDuringAProbeAreNotRefused(t *testing.T) {
	for _, latency := range []time.Duration{0, 400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store := &batchstore.Store{}
			i := newIntake(store)
			i.Store = slowReads{store, latency}
			store.SetDown(true)
			_ = i.Submit(t.Context(), intake.Call{ID: "1"}, job("1"))
			time.Sleep(time.Second)
			store.SetDown(false)
			var calls sync.WaitGroup
			for number := range 5 {
				calls.Go(func() {
					id := fmt.Sprint("a", number)
					if err := i.Submit(t.Context(), intake.Call{ID: id}, job(id)); err != nil {
						t.Errorf("Submit of %s: have %v, want no error", id, err)
					}
				})
				time.Sleep(time.Millisecond)
			}
			calls.Wait()
		})
	}
}

// Guards against answers of unknown outcome while it is known that the store does not answer: a call that
// has only read is surely not run, and its caller may submit the job elsewhere.
func TestRefusalsInAnOutageAreCertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &batchstore.Store{}
		store.SetDown(true)
		i := newIntake(store)
		i.StoreFailing = func() bool { return true }
		for number := range 4 {
			id := fmt.Sprint(number)
			if err := i.Submit(t.Context(), intake.Call{ID: id}, job(id)); !errkind.Unavailable.Is(err) {
				t.Errorf("Submit %s: have %v, want an unavailable error", id, err)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// Guards against refusals caused by callers: one that gives up at once, or whose write began before the
// store took a later one, says nothing about the store.
func TestBreakerStaysClosed(t *testing.T) {
	t.Run("a caller gives up", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			i := newIntake(&batchstore.Store{})
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			defer cancel()
			_ = i.Submit(ctx, intake.Call{ID: "1"}, job("1"))
			if err := i.Submit(t.Context(), intake.Call{ID: "2"}, job("2")); err != nil {
				t.Errorf("Submit: have %v, want no error", err)
			}
		})
	})
	t.Run("answers were lost before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := &batchstore.Store{}
			i := newIntake(store)
			store.LoseAnswers(2, time.Minute)
			time.AfterFunc(time.Second, func() { _ = i.Submit(t.Context(), intake.Call{ID: "2"}, job("2")) })
			_ = i.Submit(t.Context(), intake.Call{ID: "1"}, job("1"))
			if err := i.Submit(t.Context(), intake.Call{ID: "3"}, job("3")); err != nil {
				t.Errorf("Submit: have %v, want no error", err)
			}
		})
	})
}
