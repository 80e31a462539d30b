package admission_test

import (
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/admission"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

func item(organisation string, weight float64, deadline time.Time) *admission.Item {
	return &admission.Item{Organisation: organisation, Weight: weight, Urgency: wire.Urgency_urgent, Deadline: deadline, ServiceTime: 10 * time.Millisecond}
}

// Guards against a burst of one organisation that keeps another from its share by weight.
func TestNextSharesByWeight(t *testing.T) {
	now, q := time.Unix(1000, 0), &admission.Queue{Limit: 1000}
	for range 300 {
		q.Offer(now, item("burst", 1, now.Add(time.Hour)), 8)
	}
	for range 300 {
		q.Offer(now, item("steady", 3, now.Add(time.Hour)), 8)
	}
	have := map[string]int{}
	for range 200 {
		next, _ := q.Next(now)
		have[next.Organisation]++
	}
	if have["steady"] != 150 || have["burst"] != 50 {
		t.Errorf("\nhave: %v\nwant: 150 steady, 50 burst", have)
	}
}

// An item that has waited for more than half of the time until its deadline expires, so that
// dispatched items can still finish in time. A repeated dispatch is exempt.
func TestNextDropsWhatWaitedTooLong(t *testing.T) {
	now, q := time.Unix(1000, 0), &admission.Queue{Limit: 1000}
	late := item("a", 1, now.Add(2*time.Second))
	q.Offer(now, late, 8)
	next, expired := q.Next(now.Add(1100 * time.Millisecond))
	if next != nil || len(expired) != 1 {
		t.Errorf("\nhave: %v, %d expired\nwant: nothing, 1 expired", next, len(expired))
	}
	q.Requeue(late, true)
	if next, _ = q.Next(now.Add(1100 * time.Millisecond)); next != late {
		t.Errorf("\nhave: %v\nwant: the requeued item", next)
	}
}

func TestOfferEvictsFromTheLongestQueue(t *testing.T) {
	now, q := time.Unix(1000, 0), &admission.Queue{Limit: 10}
	for range 10 {
		q.Offer(now, item("burst", 1, now.Add(time.Hour)), 8)
	}
	evicted, refused := q.Offer(now, item("steady", 1, now.Add(time.Hour)), 8)
	if refused != nil || evicted == nil || evicted.Organisation != "burst" {
		t.Errorf("\nhave: %v %v\nwant: an evicted item of burst", evicted, refused)
	}
	if _, refused = q.Offer(now, item("burst", 1, now.Add(time.Hour)), 8); refused == nil {
		t.Error("\nhave: accepted\nwant: a refusal, as burst is over its share")
	}
}
