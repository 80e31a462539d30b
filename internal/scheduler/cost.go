package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// spreadPenalty weighs the free room that a placement breaks up against duration.
	spreadPenalty = 0.5
	// fastPower makes fast targets dear, so that tasks with time to spare leave them to others.
	fastPower = 1.3
	// lateCost is what a run that ends too late costs, in multiples of its work.
	lateCost = 4.0
	// unsure is how unsure the end of a run is, in logarithms; safeSlack of a job's spare
	// time is counted on.
	unsure    = 0.1
	safeSlack = 0.9
	// avoidPenalty makes a unit prefer another target than the one where it failed.
	avoidPenalty = 3
	// paceStep is the ratio of the paces at which a gang's placement is tried.
	paceStep = 1.15
)

// price is what it costs to hold part of a room for a second: fast targets are dear, and
// so is breaking up free room.
func (p *pass) price(c *candidate, u *unit, r *room) float64 {
	price := math.Pow(r.speed, fastPower)
	if u != nil && u.avoid == r.ID {
		price *= avoidPenalty
	}
	left := r.free.Minus(c.step.shape.Counted())
	open := (share(left.MilliCores, r.Capacity.MilliCores) + share(left.MemoryMB, r.Capacity.MemoryMB) + share(left.Accelerators, r.Capacity.Accelerators)) / 3
	return price * (1 + spreadPenalty*open)
}

// pace is the speed at which a task of the step would run in a room, its data included.
func (p *pass) pace(c *candidate, r *room) float64 {
	if shape := c.step.shape; shape.DataRack != "" && shape.DataRack != r.Rack {
		return r.speed / max(p.s.Limits.RemoteFactor, 1)
	}
	return r.speed
}

// seconds is how long a task of the step runs at a pace.
func (p *pass) seconds(c *candidate, pace float64) float64 {
	return p.s.duration(c.step).Seconds() / max(pace, slowestSpeed)
}

// risk is the likelihood that a run of some seconds ends too late for its job's objective.
func (c *candidate) risk(seconds float64) float64 {
	if c.slack <= 0 {
		return 1
	}
	return 1 / (1 + math.Exp(-math.Log(seconds/(safeSlack*c.slack))/unsure))
}

// lateness is what the risk of a late end costs a task.
func (p *pass) lateness(c *candidate, seconds float64) float64 {
	return lateCost * p.s.duration(c.step).Seconds() * c.risk(seconds)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// choice is a set of rooms for a unit, and how long it would run there.
type choice struct {
	rooms   []*room
	cost    float64
	seconds float64
}

// single finds the best room for one task; none when there is no room.
func (p *pass) single(c *candidate, u *unit) choice {
	best := choice{}
	for _, r := range p.rooms {
		if !p.fits(c, r) {
			continue
		}
		seconds := p.seconds(c, p.pace(c, r))
		if cost := seconds*p.price(c, u, r) + p.lateness(c, seconds); best.rooms == nil || cost < best.cost {
			best = choice{rooms: []*room{r}, cost: cost, seconds: seconds}
		}
	}
	return best
}

// option is a room in which some members of a gang could run.
type option struct {
	room  *room
	pace  float64
	price float64
	times int
}

// fill chooses rooms for count members out of some, which run remote times as long. The
// slowest member sets the pace of all: each pace is tried with the rooms that keep it.
func (p *pass) fill(c *candidate, rooms []*room, count int, remote float64) choice {
	options, total := p.options(c, rooms, count)
	if total < count {
		return choice{}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.pace, a.pace) })
	best := choice{}
	kept, room := 0, 0
	for kept < len(options) {
		least := options[kept].pace / paceStep
		for kept < len(options) && options[kept].pace >= least {
			room += options[kept].times
			kept++
		}
		if room < count {
			continue
		}
		if found := p.cheapest(c, slices.Clone(options[:kept]), count, remote); best.rooms == nil || found.cost < best.cost {
			best = found
		}
	}
	return best
}

func (p *pass) options(c *candidate, rooms []*room, count int) ([]option, int) {
	var options []option
	total := 0
	for _, r := range rooms {
		if !p.fits(c, r) {
			continue
		}
		limit := count
		if c.step.shape.MaxPerTarget > 0 {
			limit = min(limit, c.step.shape.MaxPerTarget-r.count(c.step))
		}
		times := c.step.shape.Counted().Times(r.free, limit)
		options = append(options, option{room: r, pace: p.pace(c, r), price: p.price(c, nil, r), times: times})
		total += times
	}
	return options, total
}

// cheapest takes the cheapest rooms for count members.
func (p *pass) cheapest(c *candidate, options []option, count int, remote float64) choice {
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.price, b.price) })
	found := choice{}
	prices, pace := 0.0, math.Inf(1)
	for _, o := range options {
		for range min(o.times, count-len(found.rooms)) {
			found.rooms = append(found.rooms, o.room)
			prices, pace = prices+o.price, min(pace, o.pace)
		}
	}
	found.seconds = remote * p.seconds(c, pace)
	found.cost = found.seconds*prices + float64(count)*p.lateness(c, found.seconds)
	return found
}
