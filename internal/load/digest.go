// Package load defines the planner's digest of the load: how long new jobs are expected to wait, what the
// organisations use and wait for, and what the targets can hold at most.
package load

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/records"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

const (
	// maxBytes bounds the record of a digest.
	maxBytes = 64 << 10
	// significantChange is the fraction by which a wait or an amount of work has to change for a new
	// digest to be worth a write.
	significantChange = 0.1
)

// Digest is the load at one time. It must not be changed once it is shared.
type Digest struct {
	// Token is that of the planner's term, and Number rises with each digest of the term.
	Token, Number int64
	// Warm is set once most targets have reported to the planner.
	Warm bool
	// Queues holds the queues in which work waits.
	Queues map[string]Queue
	// Organisations holds those that use capacity or have work that waits.
	Organisations map[string]Organisation
	Services      map[string]Service
}

// Queue is the load of a queue. Work is in seconds of a whole target.
type Queue struct {
	WaitingJobs int
	WaitingWork float64
	// ExpectedWait is the time until a job that is submitted now starts its first task.
	ExpectedWait time.Duration
	// ShortFor is for how long ExpectedWait has exceeded the objective of the queue's mean job; 0 if it
	// does not.
	ShortFor time.Duration
	// EstimateRatio is the measured duration of tasks as a multiple of the callers' estimates.
	EstimateRatio float64
	// MeanWork is the work of the mean job.
	MeanWork float64
}

// Organisation is the load of an organisation.
type Organisation struct {
	WaitingWork float64
	// UsedShare is the dominant share of the capacity that it uses, and FairShare its part when all
	// organisations compete.
	UsedShare, FairShare float64
	// UrgentAccelerators is what its open jobs of priority 0 need.
	UrgentAccelerators int64
}

// Service is the size of a service.
type Service struct {
	Targets int
	// Largest holds the largest amount of each resource that a target of the service has ever had.
	Largest workload.Resources
}

// Waits reports whether any work waits.
func (d *Digest) Waits() bool { return len(d.Queues) > 0 }

// Differs reports whether the digest says something else than an earlier one, which may be nil: what waits or
// how long has changed by a tenth, or anything else by which submissions are judged.
func (d *Digest) Differs(earlier *Digest) bool {
	if earlier == nil || d.Warm != earlier.Warm || len(d.Queues) != len(earlier.Queues) || !maps.Equal(d.Services, earlier.Services) {
		return true
	}
	for name, queue := range d.Queues {
		former, known := earlier.Queues[name]
		if !known || (queue.ShortFor > 0) != (former.ShortFor > 0) || changed(queue.WaitingWork, former.WaitingWork) ||
			changed(queue.ExpectedWait.Seconds(), former.ExpectedWait.Seconds()) {
			return true
		}
	}
	return false
}

func changed(now, before float64) bool { return math.Abs(now-before) > significantChange*before }

// Encode returns the record of the digest as the store keeps it. If it were over 64 KB, the organisations with
// the least waiting work are left out, and then the queues with the least.
func (d *Digest) Encode() ([]byte, error) {
	record := d.Record()
	slices.SortStableFunc(record.Organisations, func(a, b *wire.OrganisationLoad) int {
		return cmp.Compare(b.GetWaitingTargetSeconds(), a.GetWaitingTargetSeconds())
	})
	for proto.Size(record) > maxBytes && len(record.Organisations) > 0 {
		record.Organisations = record.Organisations[:len(record.Organisations)*3/4]
	}
	slices.SortStableFunc(record.Queues, func(a, b *wire.QueueLoad) int {
		return cmp.Compare(b.GetWaitingTargetSeconds(), a.GetWaitingTargetSeconds())
	})
	for proto.Size(record) > maxBytes && len(record.Queues) > 0 {
		record.Queues = record.Queues[:len(record.Queues)*3/4]
	}
	return records.Encode(record)
}

// Record returns the record of the digest, with its entries in the order of their names.
func (d *Digest) Record() *wire.LoadRecord {
	record := &wire.LoadRecord{Token: d.Token, Number: d.Number, Warm: d.Warm}
	for _, name := range slices.Sorted(maps.Keys(d.Queues)) {
		queue := d.Queues[name]
		entry := &wire.QueueLoad{
			Queue: name, WaitingJobs: int32(queue.WaitingJobs), WaitingTargetSeconds: queue.WaitingWork, ExpectedWait: durationpb.New(queue.ExpectedWait),
			EstimateRatio: queue.EstimateRatio, MeanTargetSeconds: queue.MeanWork,
		}
		if queue.ShortFor > 0 {
			entry.ShortFor = durationpb.New(queue.ShortFor)
		}
		record.Queues = append(record.Queues, entry)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Organisations)) {
		o := d.Organisations[name]
		record.Organisations = append(record.Organisations, &wire.OrganisationLoad{
			Organisation: name, WaitingTargetSeconds: o.WaitingWork, UsedShare: o.UsedShare, FairShare: o.FairShare, UrgentAccelerators: o.UrgentAccelerators,
		})
	}
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		service := d.Services[name]
		record.Services = append(record.Services, &wire.ServiceCapacity{
			Service: name, Targets: int32(service.Targets), MilliCores: service.Largest.MilliCores, MemoryMb: service.Largest.MemoryMB, Accelerators: service.Largest.Accelerators,
		})
	}
	return record
}

// FromRecord returns the digest that a record describes.
func FromRecord(record *wire.LoadRecord) *Digest {
	d := &Digest{
		Token: record.GetToken(), Number: record.GetNumber(), Warm: record.GetWarm(),
		Queues: map[string]Queue{}, Organisations: map[string]Organisation{}, Services: map[string]Service{},
	}
	for _, entry := range record.GetQueues() {
		d.Queues[entry.GetQueue()] = Queue{
			WaitingJobs: int(entry.GetWaitingJobs()), WaitingWork: entry.GetWaitingTargetSeconds(), ExpectedWait: entry.GetExpectedWait().AsDuration(),
			ShortFor: entry.GetShortFor().AsDuration(), EstimateRatio: entry.GetEstimateRatio(), MeanWork: entry.GetMeanTargetSeconds(),
		}
	}
	for _, entry := range record.GetOrganisations() {
		d.Organisations[entry.GetOrganisation()] = Organisation{
			WaitingWork: entry.GetWaitingTargetSeconds(), UsedShare: entry.GetUsedShare(), FairShare: entry.GetFairShare(), UrgentAccelerators: entry.GetUrgentAccelerators(),
		}
	}
	for _, entry := range record.GetServices() {
		d.Services[entry.GetService()] = Service{
			Targets: int(entry.GetTargets()), Largest: workload.Resources{MilliCores: entry.GetMilliCores(), MemoryMB: entry.GetMemoryMb(), Accelerators: entry.GetAccelerators()},
		}
	}
	return d
}
