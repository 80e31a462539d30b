package backoff_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/backoff"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
)

// Guards against callers that are told to return when they have given up, and against delays outside the
// bounds.
func TestDelaysLeaveTimeForTheCall(t *testing.T) {
	bounds := backoff.Backoff{Min: 200 * time.Millisecond, Max: 5 * time.Second}
	for _, left := range []time.Duration{0, time.Millisecond, 300 * time.Millisecond, time.Second, 1500 * time.Millisecond, 3 * time.Second, time.Minute} {
		for _, wait := range []time.Duration{0, time.Millisecond, 2900 * time.Millisecond, time.Hour} {
			for id := range 50 {
				refusal := backoff.Refusal{ID: fmt.Sprint(id), Priority: id % 3, Wait: wait, Left: left}
				delay := bounds.After(refusal)
				if delay.Exact <= 0 || delay.Exact > bounds.Max || (delay.Exact < bounds.Min && (left == 0 || left > 2*bounds.Min)) {
					t.Errorf("%+v: %s is outside the bounds", refusal, delay.Exact)
				}
				if left > 0 && (delay.Exact >= left || time.Duration(delay.Seconds)*time.Second >= left) {
					t.Errorf("%+v: %s or %d s is too late", refusal, delay.Exact, delay.Seconds)
				}
				if left > 2*time.Second && time.Duration(delay.Seconds)*time.Second < delay.Exact {
					t.Errorf("%+v: %d s is not %s rounded up", refusal, delay.Seconds, delay.Exact)
				}
				if delay != bounds.After(refusal) {
					t.Errorf("%+v: the delay differs from call to call", refusal)
				}
			}
		}
	}
}

// Guards against refused callers that return together, or bulk work before urgent work.
func TestDelaysSpreadCallersInTheOrderOfTheirPriority(t *testing.T) {
	const callers = 300
	perSlot, mean := map[time.Duration]int{}, [3]time.Duration{}
	for id := range callers {
		for priority := range mean {
			delay := backoff.Backoff{}.After(backoff.Refusal{ID: fmt.Sprint(id), Priority: priority, Left: 3 * time.Second}).Exact
			mean[priority] += delay / callers
			perSlot[delay/(50*time.Millisecond)]++
		}
	}
	if mean[0] >= mean[1] || mean[1] >= mean[2] {
		t.Errorf("mean delays by priority: have %s, want them to rise", mean)
	}
	for slot, count := range perSlot {
		if count > callers*len(mean)/3 {
			t.Errorf("%d of %d callers return within 50 ms from %s on", count, callers*len(mean), slot*50*time.Millisecond)
		}
	}
}

// Guards against delays that get lost between the part that refuses a call and the one that answers it.
func TestAttachedDelay(t *testing.T) {
	want := backoff.Delay{Exact: 250 * time.Millisecond, Seconds: 1}
	err := backoff.Attach(errkind.Unavailable.New("wait", "refused"), want)
	if have, ok := backoff.Of(err); !ok || have != want || !errkind.Unavailable.Is(err) || errkind.Remedy(err) != "wait" {
		t.Errorf("have %+v (%t) of %v, want %+v", have, ok, err, want)
	}
}
