// Package admission holds the bounded queue of requests. It shares the runners among organisations
// by weight and drops requests that can no longer finish before their deadline.
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
	// Weight is the organisation's share of the runners relative to the other organisations.
	Weight  float64
	Urgency wire.Urgency
	// Deadline is the time after which the caller no longer uses the answer.
	Deadline time.Time
	// ServiceTime is the expected time that a runner needs for the request.
	ServiceTime time.Duration
	// Value is not used by the queue; its user keeps the request here.
	Value any

	// arrival numbers the items in order of their first arrival.
	arrival int
	// dispatchBy is the latest time of dispatch. Half of the time until the deadline is for the
	// queue and half for the runner, so that a slow runner can still answer in time.
	dispatchBy time.Time
}

// Queue holds the waiting requests of one host and serves the organisations by weighted fair
// queueing. It is not safe for concurrent use.
type Queue struct {
	// Limit is the largest number of waiting requests. Set it before use.
	Limit int

	length        int
	virtualTime   float64
	arrivals      int
	organisations map[string]*organisationQueue
}

// organisationQueue holds the waiting requests of one organisation. virtualFinish is the virtual
// time, in seconds of service for a weight of 1, at which the requests dispatched so far finish.
type organisationQueue struct {
	name          string
	weight        float64
	virtualFinish float64
	items         items
}

// items is a heap ordered by urgency, then by arrival.
type items []*Item

func (h items) Len() int { return len(h) }
func (h items) Less(i, j int) bool {
	if h[i].Urgency != h[j].Urgency {
		return h[i].Urgency < h[j].Urgency
	}
	return h[i].arrival < h[j].arrival
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
	if queue, ok := q.organisations[organisation]; ok {
		return len(queue.items)
	}
	return 0
}

// Offer queues an item or returns the reason for refusing it. slots is the number of requests that
// the runners take at once. If the queue is full, Offer evicts and returns the last item of the
// organisation with the longest queue for its weight. It refuses the new item if that
// organisation is the item's own.
func (q *Queue) Offer(now time.Time, item *Item, slots int) (evicted *Item, refused *outcome.NotRun) {
	own := q.organisationQueue(item)
	item.dispatchBy = now.Add(item.Deadline.Sub(now) / 2)
	if wait := q.wait(own, item, slots); now.Add(wait).After(item.dispatchBy) || now.Add(wait+item.ServiceTime).After(item.Deadline) {
		return nil, &outcome.NotRun{
			Reason: "the expected wait in the queue is too long for the deadline", Remedy: "try again later or set a longer deadline",
			RetryAfter: min(max(wait/2, minimumRetryAfter), maximumRetryAfter),
		}
	}
	if q.length >= q.Limit {
		evicted = q.evict(item)
		if evicted == nil {
			return nil, &outcome.NotRun{Reason: "the queue is full", Remedy: "try again later", RetryAfter: minimumRetryAfter}
		}
	}
	if len(own.items) == 0 {
		own.virtualFinish = math.Max(own.virtualFinish, q.virtualTime)
	}
	q.arrivals++
	item.arrival = q.arrivals
	heap.Push(&own.items, item)
	q.length++
	return evicted, nil
}

func (q *Queue) organisationQueue(item *Item) *organisationQueue {
	if q.organisations == nil {
		q.organisations = map[string]*organisationQueue{}
	}
	queue, ok := q.organisations[item.Organisation]
	if !ok {
		queue = &organisationQueue{name: item.Organisation}
		q.organisations[item.Organisation] = queue
	}
	// The queue divides by the weight, so one below 0.001 counts as 0.001.
	queue.weight = math.Max(item.Weight, 0.001)
	return queue
}

// wait estimates the time until the item is dispatched, from the work of its organisation that is
// dispatched before it and the organisation's share of the slots.
func (q *Queue) wait(own *organisationQueue, item *Item, slots int) time.Duration {
	if q.length == 0 || slots <= 0 {
		return 0
	}
	totalWeight := own.weight
	for _, other := range q.organisations {
		if other != own && len(other.items) > 0 {
			totalWeight += other.weight
		}
	}
	ahead := time.Duration(0)
	for _, waiting := range own.items {
		if waiting.Urgency <= item.Urgency {
			ahead += waiting.ServiceTime
		}
	}
	return time.Duration(float64(ahead) / (float64(slots) * own.weight / totalWeight))
}

// evict removes the newest of the least urgent items of the organisation with the longest queue for
// its weight. It returns nil if that is the newcomer's organisation.
func (q *Queue) evict(newcomer *Item) *Item {
	var worst *organisationQueue
	for _, candidate := range q.organisations {
		if len(candidate.items) > 0 && (worst == nil || candidate.longerThan(worst)) {
			worst = candidate
		}
	}
	if worst == nil || worst == q.organisations[newcomer.Organisation] {
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

// longerThan compares the queue lengths divided by weight, and the names if those are equal.
func (o *organisationQueue) longerThan(other *organisationQueue) bool {
	own, others := float64(len(o.items))/o.weight, float64(len(other.items))/other.weight
	if own != others {
		return own > others
	}
	return o.name < other.name
}

// Next removes and returns the first item of the organisation that has received the least service
// for its weight, or nil if there is none. Items that can no longer finish in time are removed and
// returned as expired.
func (q *Queue) Next(now time.Time) (item *Item, expired []*Item) {
	for {
		queue := q.nextOrganisation()
		if queue == nil {
			return nil, expired
		}
		next := heap.Pop(&queue.items).(*Item)
		q.length--
		if now.After(next.dispatchBy) || now.Add(next.ServiceTime).After(next.Deadline) {
			expired = append(expired, next)
			continue
		}
		q.virtualTime = queue.virtualFinish
		queue.virtualFinish += math.Max(next.ServiceTime.Seconds(), time.Microsecond.Seconds()) / queue.weight
		return next, expired
	}
}

// nextOrganisation returns the queue to serve next, or nil if all are empty.
func (q *Queue) nextOrganisation() *organisationQueue {
	var best *organisationQueue
	for _, candidate := range q.organisations {
		if len(candidate.items) > 0 && (best == nil || candidate.servedBefore(best)) {
			best = candidate
		}
	}
	return best
}

// servedBefore compares the virtual finish times, and the names if those are equal.
func (o *organisationQueue) servedBefore(other *organisationQueue) bool {
	if o.virtualFinish != other.virtualFinish {
		return o.virtualFinish < other.virtualFinish
	}
	return o.name < other.name
}

// Requeue puts back an item ahead of later arrivals. again is set if an earlier dispatch of the
// item failed; it may then use all of the time until its deadline.
func (q *Queue) Requeue(item *Item, again bool) {
	if again {
		item.dispatchBy = item.Deadline
	}
	heap.Push(&q.organisationQueue(item).items, item)
	q.length++
}

// Remove removes a waiting item and reports whether it was in the queue.
func (q *Queue) Remove(item *Item) bool {
	queue, ok := q.organisations[item.Organisation]
	if !ok {
		return false
	}
	for i, waiting := range queue.items {
		if waiting == item {
			heap.Remove(&queue.items, i)
			q.length--
			return true
		}
	}
	return false
}
