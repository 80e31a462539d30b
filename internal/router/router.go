// Package router chooses the runner for a request from what this host has
// learned: outstanding work, speed, refusals, failures and departures.
package router

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrasstide/eelgrasstide/internal/runner"
)

const (
	learningRate    = 0.2
	failureRate     = 0.25
	ejectShare      = 0.5
	healthyShare    = 0.3
	ejectSamples    = 3
	ejectFirst      = time.Second
	ejectLast       = 30 * time.Second
	busyPause       = 20 * time.Millisecond
	windowDecrease  = 0.7
	failurePenalty  = 8
	initialService  = 20 * time.Millisecond
	minimumFactor   = 0.05
	departureMemory = 30 * time.Second
)

// Policy names a way to choose, for comparison runs.
type Policy int

// The policies. LeastWork is the one in use.
const (
	LeastWork Policy = iota
	RoundRobin
	TwoChoices
)

// Listing is a runner as the platform lists it.
type Listing struct {
	Name    string
	Address netip.AddrPort
	Leaving bool
}

// Router holds one host's view of the runners. Set the fields before use; it is
// not safe for concurrent use.
type Router struct {
	// Self and HostsPerRunner choose the subset of runners that this host uses.
	Self           string
	HostsPerRunner int
	// PerRunner bounds this host's requests at one runner.
	PerRunner int
	Policy    Policy
	Random    *rand.Rand

	targets map[string]*target
	order   []string
	classes map[string]float64
	next    int
}

type target struct {
	Listing
	inFlight   int
	window     float64
	factor     float64
	bad        float64
	samples    int
	ejections  int
	ejectedFor time.Time
	pausedFor  time.Time
	leftAt     time.Time
	listed     bool
}

// Update takes the platform's list and the hosts that share the runners. A
// runner once seen leaving stays so while the list lags.
func (r *Router) Update(now time.Time, listed []Listing, hosts []string) {
	if r.targets == nil {
		r.targets, r.classes = map[string]*target{}, map[string]float64{}
	}
	for _, held := range r.targets {
		held.listed = false
	}
	for _, listing := range listed {
		if !r.uses(listing.Name, hosts) {
			continue
		}
		held, ok := r.targets[listing.Name]
		if !ok || held.Address != listing.Address {
			held = &target{Listing: listing, window: math.Max(1, float64(r.PerRunner)/2), factor: 1}
			r.targets[listing.Name] = held
		}
		held.listed = true
		if listing.Leaving {
			r.Left(now, listing.Name)
		} else if now.Sub(held.leftAt) > departureMemory {
			held.Leaving = false
		}
	}
	r.order = r.order[:0]
	for name, held := range r.targets {
		if !held.listed && held.inFlight == 0 {
			delete(r.targets, name)
			continue
		}
		r.order = append(r.order, name)
	}
	sort.Strings(r.order)
}

// uses reports whether this host is among the few that share the runner, by
// rendezvous hashing over the hosts.
func (r *Router) uses(name string, hosts []string) bool {
	if r.HostsPerRunner <= 0 || len(hosts) <= r.HostsPerRunner {
		return true
	}
	own, before := xxhash.Sum64String(r.Self+"\x00"+name), 0
	for _, host := range hosts {
		if host != r.Self && xxhash.Sum64String(host+"\x00"+name) > own {
			before++
		}
	}
	return before < r.HostsPerRunner
}

// Left marks a runner as leaving, whichever source showed it first.
func (r *Router) Left(now time.Time, name string) {
	if held, ok := r.targets[name]; ok {
		held.Leaving, held.leftAt = true, now
	}
}

// Departures returns the runners that are leaving.
func (r *Router) Departures() []string {
	var out []string
	for _, name := range r.order {
		if r.targets[name].Leaving {
			out = append(out, name)
		}
	}
	return out
}

// Pick chooses a runner that may take one more request now and counts it. Names
// in exclude are passed over.
func (r *Router) Pick(now time.Time, exclude map[string]bool) (Listing, bool) {
	var open []*target
	for _, name := range r.order {
		if held := r.targets[name]; !exclude[name] && r.open(held, now) {
			open = append(open, held)
		}
	}
	if len(open) == 0 {
		return Listing{}, false
	}
	held := r.choose(open)
	held.inFlight++
	return held.Listing, true
}

func (r *Router) open(held *target, now time.Time) bool {
	return held.listed && !held.Leaving && now.After(held.ejectedFor) && now.After(held.pausedFor) &&
		float64(held.inFlight) < math.Max(1, math.Floor(held.window))
}

func (r *Router) choose(open []*target) *target {
	switch r.Policy {
	case RoundRobin:
		r.next++
		return open[r.next%len(open)]
	case TwoChoices:
		first, second := open[r.Random.IntN(len(open))], open[r.Random.IntN(len(open))]
		if second.inFlight < first.inFlight {
			return second
		}
		return first
	}
	best, least, ties := open[0], math.Inf(1), 0
	for _, held := range open {
		score := float64(held.inFlight+1) * held.factor * (1 + failurePenalty*held.bad)
		switch {
		case score < least:
			best, least, ties = held, score, 1
		case score == least:
			ties++
			if r.Random.IntN(ties) == 0 {
				best = held
			}
		}
	}
	return best
}

// Ended takes the end of a dispatch that Pick counted.
func (r *Router) Ended(now time.Time, name, class string, sign runner.Sign, took time.Duration) {
	held, ok := r.targets[name]
	if !ok {
		return
	}
	held.inFlight--
	switch sign {
	case runner.Good:
		r.learn(held, class, took)
		held.window = math.Min(float64(r.PerRunner), held.window+1/held.window)
		r.judge(now, held, 0)
	case runner.Busy:
		held.window = math.Max(1, held.window*windowDecrease)
		held.pausedFor = now.Add(busyPause)
	case runner.Leaving:
		r.Left(now, name)
	case runner.Failed, runner.Lost:
		r.judge(now, held, 1)
	}
}

// Withdraw takes back a Pick that was not dispatched.
func (r *Router) Withdraw(name string) {
	if held, ok := r.targets[name]; ok {
		held.inFlight--
	}
}

// learn splits the time into the class's own length and the runner's speed.
func (r *Router) learn(held *target, class string, took time.Duration) {
	seconds := math.Max(took.Seconds(), time.Microsecond.Seconds())
	mean, ok := r.classes[class]
	if !ok {
		mean = seconds
	}
	held.factor += learningRate * (seconds/mean - held.factor)
	held.factor = math.Max(held.factor, minimumFactor)
	r.classes[class] = mean + learningRate/4*(seconds/held.factor-mean)
}

// judge ejects a runner that fails while the others do not. A fault that all
// runners show is the requests' own.
func (r *Router) judge(now time.Time, held *target, bad float64) {
	held.bad += failureRate * (bad - held.bad)
	held.samples++
	if bad == 0 {
		if held.bad < healthyShare/2 {
			held.ejections = 0
		}
		return
	}
	trial := held.ejections > 0 && held.window < 2
	if !trial && (held.samples < ejectSamples || held.bad < ejectShare) {
		return
	}
	if r.othersBad(held) > healthyShare {
		return
	}
	pause := min(ejectFirst<<min(held.ejections, 10), ejectLast)
	held.ejections++
	held.ejectedFor = now.Add(pause)
	held.window = 1
}

// othersBad returns the median failure share of the other runners.
func (r *Router) othersBad(self *target) float64 {
	var shares []float64
	for _, held := range r.targets {
		if held != self && held.samples > 0 {
			shares = append(shares, held.bad)
		}
	}
	if len(shares) == 0 {
		return 0
	}
	sort.Float64s(shares)
	return shares[len(shares)/2]
}

// Service returns the learned length of a request of the class at a runner of
// ordinary speed.
func (r *Router) Service(class string) time.Duration {
	if mean, ok := r.classes[class]; ok {
		return time.Duration(mean * float64(time.Second))
	}
	return initialService
}

// Room returns how many more requests the usable runners may take now, and how
// many they may hold in all.
func (r *Router) Room(now time.Time) (free, total int) {
	for _, held := range r.targets {
		if !held.listed || held.Leaving || now.Before(held.ejectedFor) {
			continue
		}
		window := int(math.Max(1, math.Floor(held.window)))
		total += window
		if r.open(held, now) {
			free += window - held.inFlight
		}
	}
	return free, total
}

// View describes one runner for operators.
type View struct {
	Listing
	State    string
	InFlight int
	Factor   float64
}

// Views returns every runner in use, by name.
func (r *Router) Views(now time.Time) []View {
	out := make([]View, 0, len(r.order))
	for _, name := range r.order {
		held := r.targets[name]
		state := "up"
		switch {
		case held.Leaving:
			state = "leaving"
		case now.Before(held.ejectedFor):
			state = "ejected"
		case held.ejections > 0:
			state = "returning"
		}
		out = append(out, View{Listing: held.Listing, State: state, InFlight: held.inFlight, Factor: held.factor})
	}
	return out
}
