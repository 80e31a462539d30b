package scheduler

import (
	"math"
	"time"
)

const (
	// fitEvery spaces the fits of speeds and work to what was observed.
	fitEvery     = 400 * time.Millisecond
	fitRounds    = 4
	maxObserved  = 1200
	observedFor  = 2 * time.Minute
	observedHalf = time.Minute
	// Standard deviations of the logarithms: of a task's work within its step, of the
	// gang as a whole, and of the targets' speeds, at first and as handed over.
	taskSpread      = 0.25
	gangSpread      = 0.15
	speedSpread     = 0.45
	inheritedSpread = 0.25
	// percentError is the error of progress, which is told in whole percent.
	percentError = 0.6
	// outlier is the number of standard deviations from which observations count less.
	outlier      = 2.5
	logSpeedSpan = 1.2
	// doubt is how unsure it is, in logarithms, which member of a gang is the slowest.
	doubt = 0.2
	// slowedBy is how far, in logarithms, a target has to be below its usual speed to count
	// as slowed, and slowedFor how long it does so without news.
	slowedBy  = 0.7
	slowedFor = 3 * time.Second
)

// observation is the rate at which a run has got on: the speed of its target, or of the
// slowest of a gang's targets, over its step's work, in logarithms.
type observation struct {
	nodes    []*node
	step     *step
	rate     float64
	variance float64
	at       time.Time
	// current is the rate over the last time that was measured.
	current float64
	weight  float64
	// parts are, by target, how likely it is the slowest.
	parts []float64
}

// share works out how likely each target is the slowest, as that one sets the pace.
func (o *observation) share() {
	if o.parts == nil {
		o.parts = make([]float64, len(o.nodes))
	}
	lowest, sum := math.Inf(1), 0.0
	for _, n := range o.nodes {
		lowest = min(lowest, n.usualSpeed)
	}
	for i, n := range o.nodes {
		o.parts[i] = math.Exp((lowest - n.usualSpeed) / doubt)
		sum += o.parts[i]
	}
	for i := range o.parts {
		o.parts[i] /= sum
	}
}

// speed is the logarithm of the speed at which the run is expected to get on.
func (o *observation) speed() float64 {
	speed := 0.0
	for i, n := range o.nodes {
		speed += o.parts[i] * n.usualSpeed
	}
	return speed
}

// sums gathers weighted values.
type sums struct{ total, weight float64 }

func (s *sums) add(value, weight float64) { s.total, s.weight = s.total+value*weight, s.weight+weight }

// fit works out the targets' speeds and the steps' work from all recent observations.
// Speeds are relative: their geometric mean is 1.
func (s *Scheduler) fit(now time.Time) {
	if now.Sub(s.fitted) < fitEvery || !s.observedNews {
		return
	}
	s.fitted, s.observedNews = now, false
	s.trim(now)
	for range fitRounds {
		s.weigh(now)
		s.fitWork()
		s.fitSpeeds()
		s.normalise()
	}
	s.findSlowed(now)
}

// weigh gives each observation its weight: less when it is old, imprecise or far from
// what the others say.
func (s *Scheduler) weigh(now time.Time) {
	for _, o := range s.observed {
		o.share()
		o.weight = math.Exp2(-float64(now.Sub(o.at))/float64(observedHalf)) / o.variance
		if o.step.measured {
			off := o.rate + o.step.logWork - o.speed()
			o.weight /= 1 + off*off/(outlier*outlier*(o.variance+taskSpread*taskSpread))
		}
	}
}

func (s *Scheduler) fitWork() {
	works := map[*step]*sums{}
	for _, o := range s.observed {
		of := works[o.step]
		if of == nil {
			of = &sums{}
			works[o.step] = of
		}
		of.add(o.speed()-o.rate, o.weight)
	}
	for st, of := range works {
		spread := s.estimateOf(st.job.Queue).spread
		of.add(s.priorWork(st), 1/(spread*spread))
		st.logWork, st.measured = of.total/of.weight, true
	}
}

func (s *Scheduler) fitSpeeds() {
	speeds := map[*node]*sums{}
	for _, o := range s.observed {
		for i, n := range o.nodes {
			of := speeds[n]
			if of == nil {
				of = &sums{}
				speeds[n] = of
			}
			of.add(o.rate+o.step.logWork, o.weight*o.parts[i])
		}
	}
	for n, of := range speeds {
		spread := speedSpread
		if n.inherited {
			spread = inheritedSpread
		}
		of.add(n.priorSpeed, 1/(spread*spread))
		n.usualSpeed = of.total / of.weight
	}
}

// normalise makes the geometric mean of all targets' speeds 1.
func (s *Scheduler) normalise() {
	mean, count := 0.0, 0
	for _, n := range s.nodes {
		if n.listed {
			mean, count = mean+n.usualSpeed, count+1
		}
	}
	for _, n := range s.nodes {
		n.setUsual(n.usualSpeed - mean/float64(max(count, 1)))
	}
}

func (n *node) setUsual(logSpeed float64) {
	n.usualSpeed = min(max(logSpeed, -logSpeedSpan), logSpeedSpan)
	n.speed = math.Exp(n.usualSpeed + n.slowed)
}

// findSlowed lowers the speed of targets whose runs get on far slower at present than is
// usual there.
func (s *Scheduler) findSlowed(now time.Time) {
	current := map[*node]*sums{}
	for _, o := range s.observed {
		if len(o.nodes) != 1 || now.Sub(o.at) >= slowedFor || math.IsInf(o.current, 0) {
			continue
		}
		of := current[o.nodes[0]]
		if of == nil {
			of = &sums{}
			current[o.nodes[0]] = of
		}
		of.add(o.current+o.step.logWork-o.nodes[0].usualSpeed, 1)
	}
	for _, n := range s.nodes {
		n.slowed = 0
		if of := current[n]; of != nil && of.total/of.weight < -slowedBy {
			n.slowed = max(of.total/of.weight, -logSpeedSpan)
		}
		n.setUsual(n.usualSpeed)
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
		n.inherited = true
		n.setUsual(float64(speed))
		n.priorSpeed = n.usualSpeed
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

// learn passes what was measured of a step on to its queue, once a step.
func (s *Scheduler) learn(u *unit) {
	st := u.step
	if !st.measured || st.learned || st.left > (len(st.units)+1)/2 {
		return
	}
	st.learned = true
	e := s.estimateOf(st.job.Queue)
	off := st.logWork - s.priorWork(st)
	e.ratio = min(max(e.ratio*math.Exp(ratioWeight*off), minRatio), maxRatio)
	e.spread = math.Sqrt(e.spread*e.spread + spreadWeight*(min(off*off, maxSpread*maxSpread)-e.spread*e.spread))
	e.spread = min(max(e.spread, minSpread), maxSpread)
}
