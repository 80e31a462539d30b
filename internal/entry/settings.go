package entry

import (
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/coordinator"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
)

const (
	// taskLeaseLimit bounds the task leases, and so how long the tasks of a lost target have to
	// wait before they start elsewhere.
	taskLeaseLimit = 10 * time.Second
	// minCPUShare, in cores, and minLinkMbps are the figures below which a host lets better
	// suited hosts become the planner first. The reports of hundreds of targets take
	// 10 Mbit/s.
	minCPUShare = 0.4
	minLinkMbps = 100
	// delayStep is how much later a host competes for the term for each figure that is too low.
	delayStep = 250 * time.Millisecond
)

// Settings holds the settings that a host reads at its start.
type Settings struct {
	Name string
	Zone string
	// CPUShare is the host's processor time in cores; 0 if it is not known.
	CPUShare float64
	// LinkMbps is the speed of the host's network link in Mbit/s; 0 if it is not known.
	LinkMbps float64
	// MemoryMB is the host's memory in megabytes; 0 if it is not known.
	MemoryMB int64
	// MaxTaskLease is the longest task lease that targets accept.
	MaxTaskLease time.Duration
	// StopGrace is the time between the signal to stop the process and the one that kills it.
	StopGrace time.Duration
	// Retention is how long the records of ended jobs are kept.
	Retention time.Duration
	// RemoteFactor is the factor by which tasks run longer outside the rack of their data, or
	// spread over racks.
	RemoteFactor float64
	// CheckpointPeriod is the running time between two checkpoints.
	CheckpointPeriod time.Duration
	// StopTime is the longest time that a target takes to stop a run.
	StopTime time.Duration
	// DrainTime is how long after a target has said that it drains runs may still be started there; 0
	// if it is not known.
	DrainTime time.Duration
	// CordonTime is how long after the request for a cordon was acknowledged starts in its zone have to
	// have ended; 0 if there is no such bound.
	CordonTime time.Duration
	// ColdOverage is how many times as many tasks as warm targets have on average a cold one is given at
	// most, and ColdSlack how many tasks more; 0 if targets are never cold.
	ColdOverage float64
	ColdSlack   int
	// MaxDescriptors is the limit of open descriptors of the process; 0 if it is not known.
	MaxDescriptors int
	// MaxValueBytes is the size of the largest value that the platform's store accepts; 0 if it is not known.
	MaxValueBytes int
}

// Validate returns an Invalid error if the task lease, the stop grace or the retention is out of
// range.
func (s *Settings) Validate() error {
	if s.MaxTaskLease < time.Second || s.StopGrace <= 0 || s.Retention <= 0 {
		return errkind.Invalid.New("correct the settings file", "Settings.Validate: got task lease %s (want at least 1 s), stop grace %s and retention %s (want more than 0)", s.MaxTaskLease, s.StopGrace, s.Retention)
	}
	return nil
}

// limits returns the scheduler's limits that follow from the settings of the host and of the product.
func (e *Entry) limits() scheduler.Limits {
	s, weights := &e.Settings, e.Own.SchedulingPolicy()
	return scheduler.Limits{
		TaskLease: min(s.MaxTaskLease, taskLeaseLimit), RenewalHorizon: coordinator.RenewalHorizon,
		RemoteFactor: max(s.RemoteFactor, 1), Retention: s.Retention + retentionMargin,
		CheckpointPeriod: s.CheckpointPeriod, StopTime: s.StopTime, DrainTime: s.DrainTime, CordonTime: s.CordonTime,
		ColdOverage: s.ColdOverage, ColdSlack: s.ColdSlack,
		Policy: weights, ShareHalfLife: weights.ShareHalfLife,
	}
}

// delay returns how much later than the best suited hosts this one competes for the term.
func (s *Settings) delay() time.Duration {
	delay := time.Duration(0)
	for _, tooLow := range []bool{s.CPUShare > 0 && s.CPUShare < minCPUShare, s.LinkMbps > 0 && s.LinkMbps < minLinkMbps} {
		if tooLow {
			delay += delayStep
		}
	}
	return delay
}
