package entry

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/coordinator"
	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
)

const (
	// maxTaskLease bounds how long the tasks of a target that is lost keep others waiting.
	maxTaskLease = 10 * time.Second
	// weakProcessor is the share of a core, and weakLink the speed of the link, below which
	// a host lets others plan: the reports of hundreds of targets take 10 Mbit/s.
	weakProcessor = 0.4
	weakLink      = 100
	// delayStep is how much later a host competes for each respect in which it is weak.
	delayStep = 250 * time.Millisecond
)

// Settings is what a host of batch queues is told at its start.
type Settings struct {
	Name string
	Zone string
	// Processor is the host's share of a core.
	Processor float64
	// LinkMbps is the speed of its link in Mbit/s; 0 when it is not known.
	LinkMbps float64
	MemoryMB int64
	// MaxTaskLease is the longest lease that targets grant.
	MaxTaskLease time.Duration
	// StopGrace is the time from the signal to stop to the kill.
	StopGrace time.Duration
	// Retention is how long ended jobs are known.
	Retention time.Duration
	// RemoteFactor is how much longer tasks run away from their data.
	RemoteFactor float64
	// CheckpointPeriod is the work between two checkpoints.
	CheckpointPeriod time.Duration
	// StopTime is how long a target takes at most to stop a run.
	StopTime time.Duration
}

// Validate reports the first mistake.
func (s *Settings) Validate() error {
	if s.MaxTaskLease < time.Second || s.StopGrace <= 0 || s.Retention <= 0 {
		return fault.Invalid.New("correct the settings file", "Settings.Validate: task lease %s (1 s at least), stop grace %s, retention %s", s.MaxTaskLease, s.StopGrace, s.Retention)
	}
	return nil
}

func (s *Settings) limits() scheduler.Limits {
	return scheduler.Limits{
		TaskLease: min(s.MaxTaskLease, maxTaskLease), RenewalHorizon: coordinator.RenewalHorizon,
		RemoteFactor: max(s.RemoteFactor, 1), Retention: s.Retention + retentionMargin,
		CheckpointPeriod: s.CheckpointPeriod, StopTime: s.StopTime,
	}
}

// delay is how much later than the best suited hosts this one competes for the term.
func (s *Settings) delay() time.Duration {
	delay := time.Duration(0)
	for _, weak := range []bool{s.Processor > 0 && s.Processor < weakProcessor, s.LinkMbps > 0 && s.LinkMbps < weakLink} {
		if weak {
			delay += delayStep
		}
	}
	return delay
}
