// Package router chooses the runner for each request from this host's own observations: requests
// in flight, speed, refusals, failures and announced departures of the runners.
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
	// learningRate and failureRate are the weights of a new sample in the moving averages of a
	// runner's slowness and failure share. The mean service time of a class uses learningRate/4.
	learningRate = 0.2
	failureRate  = 0.25
	// A runner is ejected after a failure if it has at least minEjectSamples samples and a failure
	// share of at least ejectFailureShare, unless the median failure share of the other runners is
	// above maxOthersFailureShare.
	ejectFailureShare     = 0.5
	maxOthersFailureShare = 0.3
	minEjectSamples       = 3
	// The first ejection of a runner lasts firstEjection, and each further one twice as long as the
	// one before, up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// After a busy refusal the runner gets no requests for busyPause, and its window shrinks by
	// the factor windowDecrease.
	busyPause      = 20 * time.Millisecond
	windowDecrease = 0.7
	// failurePenalty is the weight of the failure share in a runner's score.
	failurePenalty = 8
	// initialService is the assumed service time of a class without samples.
	initialService = 20 * time.Millisecond
	// minSlowness is the lower bound of a runner's learned slowness.
	minSlowness = 0.05
	// leavingRetention is how long a runner counts as leaving while the platform's list says that
	// it is not.
	leavingRetention = 30 * time.Second
)

// Policy selects how Pick chooses among the available runners.
type Policy int

// The policies. Hosts use LeastWork; the others are for comparison runs.
const (
	// LeastWork picks the runner with the lowest expected work, with a penalty for failures.
	LeastWork Policy = iota
	// RoundRobin picks the runners in turn.
	RoundRobin
	// TwoChoices picks two runners at random and takes the one with fewer requests in flight.
	TwoChoices
)

// Listing is the platform's entry for a runner.
type Listing struct {
	Name    string
	Address netip.AddrPort
	Leaving bool
}

// Router holds one host's observations of the runners. Set the fields before use. It is not safe
// for concurrent use.
type Router struct {
	// Self is this host's name. It and HostsPerRunner determine the subset of runners that this
	// host uses; 0 means all.
	Self           string
	HostsPerRunner int
	// MaxPerRunner is the largest number of this host's requests in flight at one runner.
	MaxPerRunner int
	Policy       Policy
	Random       *rand.Rand

	runners map[string]*runnerState
	// order holds the names of the runners, sorted.
	order []string
	// classSeconds holds the mean service time of each class at a runner of slowness 1.
	classSeconds map[string]float64
	// roundRobin counts the choices of the policy RoundRobin.
	roundRobin int
	// cordoned says that the runners' zone is cordoned.
	cordoned bool
}

type runnerState struct {
	Listing
	inFlight int
	// window is the limit of requests in flight. It grows by 1/window with each success and
	// shrinks with each busy refusal.
	window float64
	// slowness is the runner's service time divided by the mean of the class.
	slowness float64
	// failureShare is the moving average of failed dispatches, from 0 to 1.
	failureShare float64
	samples      int
	ejections    int
	ejectedUntil time.Time
	pausedUntil  time.Time
	// leavingSeenAt is the last time that any source reported the runner as leaving.
	leavingSeenAt time.Time
	listed        bool
}

// Update applies the platform's list of runners and the hosts that share them. The list may lag:
// a runner that was seen leaving counts as leaving for leavingRetention, whatever the list says.
func (r *Router) Update(now time.Time, listed []Listing, hosts []string) {
	if r.runners == nil {
		r.runners, r.classSeconds = map[string]*runnerState{}, map[string]float64{}
	}
	for _, state := range r.runners {
		state.listed = false
	}
	for _, listing := range listed {
		if !r.inSubset(listing.Name, hosts) {
			continue
		}
		state, ok := r.runners[listing.Name]
		if !ok || state.Address != listing.Address {
			state = &runnerState{Listing: listing, window: math.Max(1, float64(r.MaxPerRunner)/2), slowness: 1}
			r.runners[listing.Name] = state
		}
		state.listed = true
		if listing.Leaving {
			r.MarkLeaving(now, listing.Name)
		} else if now.Sub(state.leavingSeenAt) > leavingRetention {
			state.Leaving = false
		}
	}
	r.order = r.order[:0]
	for name, state := range r.runners {
		if !state.listed && state.inFlight == 0 {
			delete(r.runners, name)
			continue
		}
		r.order = append(r.order, name)
	}
	sort.Strings(r.order)
}

// inSubset reports whether this host is among the HostsPerRunner hosts that share the runner,
// which are chosen by rendezvous hashing.
func (r *Router) inSubset(name string, hosts []string) bool {
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

// MarkLeaving marks a runner as leaving. The source may be the platform's list, the runner itself
// or another host.
func (r *Router) MarkLeaving(now time.Time, name string) {
	if state, ok := r.runners[name]; ok {
		state.Leaving, state.leavingSeenAt = true, now
	}
}

// SetCordoned says whether the runners' availability zone is cordoned. If so, none gets new requests.
func (r *Router) SetCordoned(cordoned bool) { r.cordoned = cordoned }

// Cordoned reports whether the runners' availability zone is cordoned.
func (r *Router) Cordoned() bool { return r.cordoned }

// Departures returns the runners that are leaving.
func (r *Router) Departures() []string {
	var out []string
	for _, name := range r.order {
		if r.runners[name].Leaving {
			out = append(out, name)
		}
	}
	return out
}

// Pick chooses an available runner whose name is not in exclude and counts one more request in
// flight there. End it with RecordResult or CancelPick. Pick returns false if no runner is
// available.
func (r *Router) Pick(now time.Time, exclude map[string]bool) (Listing, bool) {
	var available []*runnerState
	for _, name := range r.order {
		if state := r.runners[name]; !exclude[name] && r.available(state, now) {
			available = append(available, state)
		}
	}
	if len(available) == 0 {
		return Listing{}, false
	}
	state := r.choose(available)
	state.inFlight++
	return state.Listing, true
}

// available reports whether a runner may get one more request now.
func (r *Router) available(state *runnerState, now time.Time) bool {
	return !r.cordoned && state.listed && !state.Leaving && now.After(state.ejectedUntil) && now.After(state.pausedUntil) &&
		float64(state.inFlight) < math.Max(1, math.Floor(state.window))
}

// choose selects a runner by the policy. LeastWork takes the lowest expected work, with a penalty
// for failures, and breaks ties at random.
func (r *Router) choose(candidates []*runnerState) *runnerState {
	switch r.Policy {
	case RoundRobin:
		r.roundRobin++
		return candidates[r.roundRobin%len(candidates)]
	case TwoChoices:
		first, second := candidates[r.Random.IntN(len(candidates))], candidates[r.Random.IntN(len(candidates))]
		if second.inFlight < first.inFlight {
			return second
		}
		return first
	}
	best, least, ties := candidates[0], math.Inf(1), 0
	for _, state := range candidates {
		score := float64(state.inFlight+1) * state.slowness * (1 + failurePenalty*state.failureShare)
		switch {
		case score < least:
			best, least, ties = state, score, 1
		case score == least:
			ties++
			if r.Random.IntN(ties) == 0 {
				best = state
			}
		}
	}
	return best
}

// RecordResult records the result of a dispatch to a picked runner. took is the service time and is
// used only for a successful dispatch.
func (r *Router) RecordResult(now time.Time, name, class string, health runner.Health, took time.Duration) {
	state, ok := r.runners[name]
	if !ok {
		return
	}
	state.inFlight--
	switch health {
	case runner.Healthy:
		r.learn(state, class, took)
		state.window = math.Min(float64(r.MaxPerRunner), state.window+1/state.window)
		r.updateFailureShare(now, state, 0)
	case runner.Busy:
		state.window = math.Max(1, state.window*windowDecrease)
		state.pausedUntil = now.Add(busyPause)
	case runner.Leaving:
		r.MarkLeaving(now, name)
	case runner.Failed, runner.ConnectionLost:
		r.updateFailureShare(now, state, 1)
	}
}

// CancelPick undoes a Pick whose request was not dispatched.
func (r *Router) CancelPick(name string) {
	if state, ok := r.runners[name]; ok {
		state.inFlight--
	}
}

// learn updates the runner's slowness and the mean service time of the class from one sample.
func (r *Router) learn(state *runnerState, class string, took time.Duration) {
	seconds := math.Max(took.Seconds(), time.Microsecond.Seconds())
	mean, ok := r.classSeconds[class]
	if !ok {
		mean = seconds
	}
	state.slowness += learningRate * (seconds/mean - state.slowness)
	state.slowness = math.Max(state.slowness, minSlowness)
	r.classSeconds[class] = mean + learningRate/4*(seconds/state.slowness-mean)
}

// updateFailureShare adds a sample, 0 for a success and 1 for a failure, and ejects a runner that
// fails while the others do not. If all runners fail, the cause is taken to be the requests. A
// runner that has been ejected is ejected again at its first failure while its window is below 2.
func (r *Router) updateFailureShare(now time.Time, state *runnerState, failureShare float64) {
	state.failureShare += failureRate * (failureShare - state.failureShare)
	state.samples++
	if failureShare == 0 {
		if state.failureShare < maxOthersFailureShare/2 {
			state.ejections = 0
		}
		return
	}
	trial := state.ejections > 0 && state.window < 2
	if !trial && (state.samples < minEjectSamples || state.failureShare < ejectFailureShare) {
		return
	}
	if r.medianFailureShare(state) > maxOthersFailureShare {
		return
	}
	ejection := min(firstEjection<<min(state.ejections, 10), maxEjection)
	state.ejections++
	state.ejectedUntil = now.Add(ejection)
	state.window = 1
}

// medianFailureShare returns the median failure share of the other runners, or 0 if none has
// samples.
func (r *Router) medianFailureShare(self *runnerState) float64 {
	var shares []float64
	for _, state := range r.runners {
		if state != self && state.samples > 0 {
			shares = append(shares, state.failureShare)
		}
	}
	if len(shares) == 0 {
		return 0
	}
	sort.Float64s(shares)
	return shares[len(shares)/2]
}

// ServiceTime returns the expected service time of the class at a runner of average speed.
func (r *Router) ServiceTime(class string) time.Duration {
	if mean, ok := r.classSeconds[class]; ok {
		return time.Duration(mean * float64(time.Second))
	}
	return initialService
}

// FreeCapacity returns how many more requests the runners may take now, and how many they may have
// in flight in total. Runners that are leaving or ejected are not counted, and paused or cordoned ones
// have no free capacity.
func (r *Router) FreeCapacity(now time.Time) (free, total int) {
	for _, state := range r.runners {
		if !state.listed || state.Leaving || now.Before(state.ejectedUntil) {
			continue
		}
		window := int(math.Max(1, math.Floor(state.window)))
		total += window
		if r.available(state, now) {
			free += window - state.inFlight
		}
	}
	return free, total
}

// View describes one runner for operators.
type View struct {
	Listing
	// State is up, leaving, cordoned, ejected or returning.
	State    string
	InFlight int
	// Slowness is the runner's service time divided by the mean of the class.
	Slowness float64
}

// Views returns the runners that this host uses, sorted by name.
func (r *Router) Views(now time.Time) []View {
	out := make([]View, 0, len(r.order))
	for _, name := range r.order {
		state := r.runners[name]
		status := "up"
		switch {
		case state.Leaving:
			status = "leaving"
		case r.cordoned:
			status = "cordoned"
		case now.Before(state.ejectedUntil):
			status = "ejected"
		case state.ejections > 0:
			status = "returning"
		}
		out = append(out, View{Listing: state.Listing, State: status, InFlight: state.inFlight, Slowness: state.slowness})
	}
	return out
}
