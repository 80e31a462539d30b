// Package admission queues requests: bounded, fair among organisations by
// weight, and without work whose caller can no longer use the answer.
package admission

import (
	"container/heap"
	"math"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/pkg/outcome"
)

const (
	minimumRetryAfter = 50 * time.Millisecond
	maximumRetryAfter = 10 * time.Second
)

// Item is one queued request.
type Item struct {
	Organisation string
	Weight       float64
	Urgency      wire.Urgency
	// Deadline is the time after which the caller no longer uses the answer.
	Deadline time.Time
	// Service is the expected time at a runner.
	Service time.Duration
	// Value is the owner's request.
	Value any

	order int
	// latest is when the item has to be dispatched, so that a slow runner still
	// answers in time: half of the caller's time for the queue, half for the runner.
	latest time.Time
}

// Queue holds the waiting requests of one host. Set Limit before use; it is not
// safe for concurrent use.
type Queue struct {
	Limit int

	length  int
	virtual float64
	counter int
	shares  map[string]*share
}

type share struct {
	name   string
	weight float64
	finish float64
	items  items
}

// items orders by urgency, then by arrival.
type items []*Item

func (h items) Len() int { return len(h) }
func (h items) Less(i, j int) bool {
	if h[i].Urgency != h[j].Urgency {
		return h[i].Urgency < h[j].Urgency
	}
	return h[i].order < h[j].order
}
func (h items) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *items) Push(x any)   { *h = append(*h, x.(*Item)) }
func (h *items) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.length }

// Queued returns the number of waiting requests of an organisation.
func (q *Queue) Queued(organisation string) int {
	if held, ok := q.shares[organisation]; ok {
		return len(held.items)
	}
	return 0
}

// Offer queues an item, or says why not. slots is how many requests the targets
// take at once. A full queue gives up the last item of the organisation that is
// furthest over its share, which is returned.
func (q *Queue) Offer(now time.Time, item *Item, slots int) (evicted *Item, refused *outcome.NotRun) {
	held := q.share(item)
	item.latest = now.Add(item.Deadline.Sub(now) / 2)
	if wait := q.wait(held, item, slots); now.Add(wait).After(item.latest) || now.Add(wait+item.Service).After(item.Deadline) {
		return nil, &outcome.NotRun{
			Reason: "the queue is longer than the caller's deadline", Remedy: "try again later or allow more time",
			RetryAfter: min(max(wait/2, minimumRetryAfter), maximumRetryAfter),
		}
	}
	if q.length >= q.Limit {
		evicted = q.evict(item)
		if evicted == nil {
			return nil, &outcome.NotRun{Reason: "the queue is full", Remedy: "try again later", RetryAfter: minimumRetryAfter}
		}
	}
	if len(held.items) == 0 {
		held.finish = math.Max(held.finish, q.virtual)
	}
	q.counter++
	item.order = q.counter
	heap.Push(&held.items, item)
	q.length++
	return evicted, nil
}

func (q *Queue) share(item *Item) *share {
	if q.shares == nil {
		q.shares = map[string]*share{}
	}
	held, ok := q.shares[item.Organisation]
	if !ok {
		held = &share{name: item.Organisation}
		q.shares[item.Organisation] = held
	}
	held.weight = math.Max(item.Weight, 0.001)
	return held
}

// wait estimates the time until the item is dispatched, from the work of its
// organisation that goes before it and the organisation's share of the slots.
func (q *Queue) wait(held *share, item *Item, slots int) time.Duration {
	if q.length == 0 || slots <= 0 {
		return 0
	}
	weights := held.weight
	for _, other := range q.shares {
		if other != held && len(other.items) > 0 {
			weights += other.weight
		}
	}
	before := time.Duration(0)
	for _, waiting := range held.items {
		if waiting.Urgency <= item.Urgency {
			before += waiting.Service
		}
	}
	return time.Duration(float64(before) / (float64(slots) * held.weight / weights))
}

// evict removes the newest and least urgent item of the organisation with the
// longest queue for its weight, unless that is the newcomer's own.
func (q *Queue) evict(newcomer *Item) *Item {
	var worst *share
	for _, held := range q.shares {
		if len(held.items) > 0 && (worst == nil || held.heavier(worst)) {
			worst = held
		}
	}
	if worst == nil || worst == q.shares[newcomer.Organisation] {
		return nil
	}
	last := 0
	for i := range worst.items {
		if worst.items.Less(last, i) {
			last = i
		}
	}
	q.length--
	return heap.Remove(&worst.items, last).(*Item)
}

// heavier orders by queue length for the weight and, where that is equal, by name.
func (s *share) heavier(other *share) bool {
	own, others := float64(len(s.items))/s.weight, float64(len(other.items))/other.weight
	if own != others {
		return own > others
	}
	return s.name < other.name
}

// Next takes the next item of the organisation that has had least for its
// weight. Items that can no longer finish in time are returned as expired.
func (q *Queue) Next(now time.Time) (item *Item, expired []*Item) {
	for {
		held := q.first()
		if held == nil {
			return nil, expired
		}
		next := heap.Pop(&held.items).(*Item)
		q.length--
		if now.After(next.latest) || now.Add(next.Service).After(next.Deadline) {
			expired = append(expired, next)
			continue
		}
		q.virtual = held.finish
		held.finish += math.Max(next.Service.Seconds(), time.Microsecond.Seconds()) / held.weight
		return next, expired
	}
}

func (q *Queue) first() *share {
	var best *share
	for _, held := range q.shares {
		if len(held.items) > 0 && (best == nil || held.before(best)) {
			best = held
		}
	}
	return best
}

// before orders by virtual finish time and, where that is equal, by name.
func (s *share) before(other *share) bool {
	if s.finish != other.finish {
		return s.finish < other.finish
	}
	return s.name < other.name
}

// Requeue puts back an item that was not dispatched, or is to be tried again, ahead
// of later ones. A try that follows a failed one may use the time until the deadline.
func (q *Queue) Requeue(item *Item, again bool) {
	if again {
		item.latest = item.Deadline
	}
	heap.Push(&q.share(item).items, item)
	q.length++
}

// Remove takes a waiting item out and reports whether it was there.
func (q *Queue) Remove(item *Item) bool {
	held, ok := q.shares[item.Organisation]
	if !ok {
		return false
	}
	for i, waiting := range held.items {
		if waiting == item {
			heap.Remove(&held.items, i)
			q.length--
			return true
		}
	}
	return false
}
