package scheduler

import (
	"math"
	"time"
)

const (
	// fitInterval is the shortest time between two fits of the speeds and the work to the
	// observations.
	fitInterval = 400 * time.Millisecond
	// fitRounds is how often one fit computes the weights, the work and the speeds in turn.
	fitRounds            = 4
	maxObservations      = 1200
	observationRetention = 2 * time.Minute
	// observationHalfLife is the age at which an observation counts half.
	observationHalfLife = time.Minute
	// These are standard deviations of logarithms: of a task's work within its step, of a
	// gang's work as a whole, and of a target's speed, without and with a speed measured by a
	// former planner.
	taskSpread      = 0.25
	gangSpread      = 0.15
	speedSpread     = 0.45
	inheritedSpread = 0.25
	// percentError is the error of progress in percentage points; targets report whole
	// percent.
	percentError = 0.6
	// outlierDeviations is the number of standard deviations from which observations count
	// less.
	outlierDeviations = 2.5
	// maxLogSpeed bounds the logarithms of speeds and slowdowns, in both directions.
	maxLogSpeed = 1.2
	// slowestUncertainty is how uncertain it is, in logarithms of speed, which member of a
	// gang is the slowest.
	slowestUncertainty = 0.2
	// slowdownThreshold is how far, as a difference of logarithms, a target has to be below
	// its usual speed to count as slowed down. It counts observations up to slowdownWindow
	// old.
	slowdownThreshold = 0.7
	slowdownWindow    = 3 * time.Second
)

// observation is the measured progress of a run. The logarithm of its rate is expected to be
// that of the target's speed, or of the slowest target's for a gang, less that of the step's
// work.
type observation struct {
	nodes []*node
	step  *step
	// rate is the logarithm of the share of the work done per second since the run was first
	// measured, as if it ran near its data in one rack; variance is that of rate.
	rate     float64
	variance float64
	at       time.Time
	// current is as rate, but over the last interval only.
	current float64
	weight  float64
	// slowestProbability holds, for each of nodes, the probability that it is the slowest.
	slowestProbability []float64
}

// updateSlowestProbability computes the probability that each target is the slowest, since the
// slowest sets the speed of a gang.
func (o *observation) updateSlowestProbability() {
	if o.slowestProbability == nil {
		o.slowestProbability = make([]float64, len(o.nodes))
	}
	lowest, sum := math.Inf(1), 0.0
	for _, n := range o.nodes {
		lowest = min(lowest, n.usualLogSpeed)
	}
	for i, n := range o.nodes {
		o.slowestProbability[i] = math.Exp((lowest - n.usualLogSpeed) / slowestUncertainty)
		sum += o.slowestProbability[i]
	}
	for i := range o.slowestProbability {
		o.slowestProbability[i] /= sum
	}
}

// expectedLogSpeed returns the logarithm of the speed at which the run is expected to advance.
func (o *observation) expectedLogSpeed() float64 {
	expectedLogSpeed := 0.0
	for i, n := range o.nodes {
		expectedLogSpeed += o.slowestProbability[i] * n.usualLogSpeed
	}
	return expectedLogSpeed
}

// weightedSum is a sum of weighted values and the sum of their weights.
type weightedSum struct{ total, weight float64 }

func (s *weightedSum) add(value, weight float64) {
	s.total, s.weight = s.total+value*weight, s.weight+weight
}

// fit estimates the targets' speeds and the steps' work from all recent observations. Speeds
// are relative: their geometric mean is 1.
func (s *Scheduler) fit(now time.Time) {
	if now.Sub(s.lastFit) < fitInterval || !s.hasNewObservations {
		return
	}
	s.lastFit, s.hasNewObservations = now, false
	s.dropOldObservations(now)
	for range fitRounds {
		s.weighObservations(now)
		s.fitWork()
		s.fitSpeeds()
		s.normalise()
	}
	s.detectSlowdowns(now)
}

// weighObservations sets the weight of each observation. Old, imprecise and outlying
// observations count less.
func (s *Scheduler) weighObservations(now time.Time) {
	for _, o := range s.observations {
		o.updateSlowestProbability()
		o.weight = math.Exp2(-float64(now.Sub(o.at))/float64(observationHalfLife)) / o.variance
		if o.step.measured {
			deviation := o.rate + o.step.logWork - o.expectedLogSpeed()
			o.weight /= 1 + deviation*deviation/(outlierDeviations*outlierDeviations*(o.variance+taskSpread*taskSpread))
		}
	}
}

// fitWork estimates each observed step's work from its observations and the caller's estimate.
func (s *Scheduler) fitWork() {
	works := map[*step]*weightedSum{}
	for _, o := range s.observations {
		sum := works[o.step]
		if sum == nil {
			sum = &weightedSum{}
			works[o.step] = sum
		}
		sum.add(o.expectedLogSpeed()-o.rate, o.weight)
	}
	for st, sum := range works {
		spread := st.job.estimate.spread
		sum.add(s.priorLogWork(st), 1/(spread*spread))
		st.setLogWork(sum.total / sum.weight)
	}
}

// fitSpeeds estimates each observed target's usual speed from its observations and its prior.
func (s *Scheduler) fitSpeeds() {
	speeds := map[*node]*weightedSum{}
	for _, o := range s.observations {
		for i, n := range o.nodes {
			sum := speeds[n]
			if sum == nil {
				sum = &weightedSum{}
				speeds[n] = sum
			}
			sum.add(o.rate+o.step.logWork, o.weight*o.slowestProbability[i])
		}
	}
	for n, sum := range speeds {
		spread := speedSpread
		if n.inherited {
			spread = inheritedSpread
		}
		sum.add(n.priorLogSpeed, 1/(spread*spread))
		n.usualLogSpeed = sum.total / sum.weight
	}
}

// normalise scales all speeds so that the geometric mean over the listed targets is 1.
func (s *Scheduler) normalise() {
	mean, count := 0.0, 0
	for _, n := range s.ordered {
		if n.listed {
			mean, count = mean+n.usualLogSpeed, count+1
		}
	}
	for _, n := range s.ordered {
		n.usualLogSpeed = boundLogSpeed(n.usualLogSpeed - mean/float64(max(count, 1)))
	}
}

func (n *node) setUsualSpeed(logSpeed float64) {
	n.usualLogSpeed = boundLogSpeed(logSpeed)
	n.speed = math.Exp(n.usualLogSpeed + n.logSlowdown)
	n.speedCost = math.Pow(n.speed, fastTargetExponent)
}

func boundLogSpeed(logSpeed float64) float64 { return min(max(logSpeed, -maxLogSpeed), maxLogSpeed) }

func (st *step) setLogWork(logWork float64) {
	st.logWork, st.measured = logWork, true
	st.duration = time.Duration(math.Exp(logWork) * float64(time.Second))
}

// detectSlowdowns lowers the speed of targets whose runs advance far more slowly at present
// than is usual there.
func (s *Scheduler) detectSlowdowns(now time.Time) {
	current := map[*node]*weightedSum{}
	for _, o := range s.observations {
		if len(o.nodes) != 1 || now.Sub(o.at) >= slowdownWindow || math.IsInf(o.current, 0) {
			continue
		}
		sum := current[o.nodes[0]]
		if sum == nil {
			sum = &weightedSum{}
			current[o.nodes[0]] = sum
		}
		sum.add(o.current+o.step.logWork-o.nodes[0].usualLogSpeed, 1)
	}
	for _, n := range s.ordered {
		n.logSlowdown = 0
		if sum := current[n]; sum != nil && sum.total/sum.weight < -slowdownThreshold {
			n.logSlowdown = max(sum.total/sum.weight, -maxLogSpeed)
		}
		n.setUsualSpeed(n.usualLogSpeed)
	}
}

// LogSpeeds returns the natural logarithms of the usual speeds of the listed targets by ID. It
// leaves out those that are 0.
func (s *Scheduler) LogSpeeds() map[string]float32 {
	out := make(map[string]float32, len(s.nodes))
	for id, n := range s.nodes {
		if n.listed && n.usualLogSpeed != 0 {
			out[id] = float32(n.usualLogSpeed)
		}
	}
	return out
}

// InheritLogSpeeds sets the speeds that a former planner measured, as LogSpeeds returned them.
func (s *Scheduler) InheritLogSpeeds(now time.Time, speeds map[string]float32) {
	s.initialise()
	for id, speed := range speeds {
		n := s.node(now, id)
		n.inherited = true
		n.setUsualSpeed(float64(speed))
		n.priorLogSpeed = n.usualLogSpeed
	}
}

// dropOldObservations drops observations older than observationRetention, and the earliest
// ones beyond maxObservations.
func (s *Scheduler) dropOldObservations(now time.Time) {
	kept := s.observations[:0]
	for _, o := range s.observations {
		if now.Sub(o.at) < observationRetention {
			kept = append(kept, o)
		}
	}
	if over := len(kept) - maxObservations; over > 0 {
		kept = append(kept[:0], kept[over:]...)
	}
	s.observations = kept
}

// priorLogWork returns the logarithm of a step's work, in seconds, from the caller's estimate
// and the queue's ratio alone.
func (s *Scheduler) priorLogWork(st *step) float64 {
	return math.Log(st.spec.EstimatedDuration().Seconds() * st.job.estimate.ratio)
}

// taskDuration returns how long a task of a step is expected to run at speed 1 near its data.
func (s *Scheduler) taskDuration(st *step) time.Duration {
	if st.measured {
		return st.duration
	}
	return time.Duration(float64(st.spec.EstimatedDuration()) * st.job.estimate.ratio)
}

// updateEstimate updates the queue's estimate with the measured work of a step, once for each
// step and only when about half of its units are done.
func (s *Scheduler) updateEstimate(u *unit) {
	st := u.step
	if !st.measured || st.estimateUpdated || st.unitsLeft > (len(st.units)+1)/2 {
		return
	}
	st.estimateUpdated = true
	e := st.job.estimate
	deviation := st.logWork - s.priorLogWork(st)
	e.ratio = min(max(e.ratio*math.Exp(ratioWeight*deviation), minRatio), maxRatio)
	e.spread = math.Sqrt(e.spread*e.spread + spreadWeight*(min(deviation*deviation, maxSpread*maxSpread)-e.spread*e.spread))
	e.spread = min(max(e.spread, minSpread), maxSpread)
}
