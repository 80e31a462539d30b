package scheduler

import (
	"math"
	"time"
)

const (
	// fitEvery spaces the fits of speeds and work to what was observed.
	fitEvery     = 400 * time.Millisecond
	fitRounds    = 4
	maxObserved  = 600
	observedFor  = 25 * time.Second
	observedHalf = 10 * time.Second
	// Standard deviations of the logarithms: of a task's work within its step, of a step's
	// work against its estimate, and of the targets' speeds.
	taskSpread   = 0.15
	stepSpread   = 0.5
	speedSpread  = 0.45
	logSpeedSpan = 1.2
	// usualWeight is the weight of one fit in a target's usual speed.
	usualWeight = 0.05
)

// observation is the rate at which a run has got on: its target's speed over its step's
// work, in logarithms.
type observation struct {
	node *node
	step *step
	rate float64
	at   time.Time
}

// fit works out the targets' speeds and the steps' work from all recent observations.
// Speeds are relative: their geometric mean is 1.
func (s *Scheduler) fit(now time.Time) {
	if now.Sub(s.fitted) < fitEvery || !s.observedNews {
		return
	}
	s.fitted, s.observedNews = now, false
	s.trim(now)
	type sums struct{ total, weight float64 }
	speeds, works := map[*node]*sums{}, map[*step]*sums{}
	for range fitRounds {
		for _, o := range s.observed {
			speeds[o.node], works[o.step] = &sums{}, &sums{}
		}
		for _, o := range s.observed {
			weight := math.Exp2(-float64(now.Sub(o.at))/float64(observedHalf)) / (taskSpread * taskSpread)
			of := works[o.step]
			of.total, of.weight = of.total+weight*(o.node.logSpeed-o.rate), of.weight+weight
		}
		for st, of := range works {
			prior := 1 / (stepSpread * stepSpread)
			st.logWork = (of.total + prior*s.priorWork(st)) / (of.weight + prior)
			st.measured = true
		}
		for _, o := range s.observed {
			weight := math.Exp2(-float64(now.Sub(o.at))/float64(observedHalf)) / (taskSpread * taskSpread)
			of := speeds[o.node]
			of.total, of.weight = of.total+weight*(o.rate+o.step.logWork), of.weight+weight
		}
		for n, of := range speeds {
			prior := 1 / (speedSpread * speedSpread)
			n.logSpeed = (of.total + prior*n.usualSpeed) / (of.weight + prior)
		}
		s.normalise()
	}
	for _, n := range s.nodes {
		n.usualSpeed += usualWeight * (n.logSpeed - n.usualSpeed)
	}
}

// normalise makes the geometric mean of all targets' speeds 1.
func (s *Scheduler) normalise() {
	mean, count := 0.0, 0
	for _, n := range s.nodes {
		if n.listed {
			mean, count = mean+n.logSpeed, count+1
		}
	}
	for _, n := range s.nodes {
		n.logSpeed = min(max(n.logSpeed-mean/float64(max(count, 1)), -logSpeedSpan), logSpeedSpan)
		n.speed = math.Exp(n.logSpeed)
	}
}

// Speeds returns the logarithms of the targets' usual speeds.
func (s *Scheduler) Speeds() map[string]float32 {
	out := make(map[string]float32, len(s.nodes))
	for id, n := range s.nodes {
		if n.listed && n.usualSpeed != 0 {
			out[id] = float32(n.usualSpeed)
		}
	}
	return out
}

// InheritSpeeds takes what a former planner learned of the targets.
func (s *Scheduler) InheritSpeeds(now time.Time, speeds map[string]float32) {
	s.prepare()
	for id, speed := range speeds {
		n := s.node(now, id)
		n.usualSpeed = min(max(float64(speed), -logSpeedSpan), logSpeedSpan)
		n.logSpeed, n.speed = n.usualSpeed, math.Exp(n.usualSpeed)
	}
}

// trim drops observations that are old or too many.
func (s *Scheduler) trim(now time.Time) {
	kept := s.observed[:0]
	for _, o := range s.observed {
		if now.Sub(o.at) < observedFor {
			kept = append(kept, o)
		}
	}
	if over := len(kept) - maxObserved; over > 0 {
		kept = append(kept[:0], kept[over:]...)
	}
	s.observed = kept
}

// priorWork is the logarithm of a step's work, in seconds, by its estimate alone.
func (s *Scheduler) priorWork(st *step) float64 {
	return math.Log(st.shape.Nominal().Seconds() * s.estimateOf(st.job.Queue).ratio)
}

// duration is how long a task of a step is expected to run at speed 1 near its data.
func (s *Scheduler) duration(st *step) time.Duration {
	if st.measured {
		return time.Duration(math.Exp(st.logWork) * float64(time.Second))
	}
	return time.Duration(float64(st.shape.Nominal()) * s.estimateOf(st.job.Queue).ratio)
}

// learn passes what was measured of a step on to its queue.
func (s *Scheduler) learn(u *unit) {
	if !u.step.measured || u.step.left > len(u.step.units)/2 {
		return
	}
	e := s.estimateOf(u.step.job.Queue)
	ratio := math.Exp(u.step.logWork) / u.step.shape.Nominal().Seconds()
	e.ratio += ratioWeight * (min(max(ratio, minRatio), maxRatio) - e.ratio)
}
