package loadmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/catalogue"
	"github.com/eelgrasstide/eelgrasstide/internal/share"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// Class is a kind of job that callers submit.
type Class struct {
	Queue catalogue.Queue
	// PerSecond is the mean number of submissions per second.
	PerSecond float64
	// MeanTasks and MaxTasks describe the exponentially distributed number of tasks of a job.
	MeanTasks, MaxTasks float64
	// MeanWork is the mean duration of a task on a target of speed 1. WorkSpread is the spread
	// between jobs, and EstimateError that of the callers' estimates, as standard deviations of
	// logarithms.
	MeanWork      time.Duration
	WorkSpread    float64
	EstimateError float64
	Needs         workload.Resources
	// Accelerators holds the numbers of accelerators of a task, each as likely as the others.
	Accelerators []int64
	// GangShare is the share of the jobs that are gangs, and SameRackShare the share of gangs
	// that run several times as long when they are spread over racks.
	GangShare, SameRackShare float64
	Checkpointing            bool
	// CancelShare is the share of the jobs that their callers cancel some seconds later.
	CancelShare float64
	// FailureShare is the share of the runs that fail halfway.
	FailureShare float64
	// Worth is the credit of a job of mean work that ends on time, and LateWorth that of one
	// that ends by three times its objective.
	Worth, LateWorth float64
}

// Workload is the load on one service and the targets that carry it.
type Workload struct {
	Classes []Class
	// Targets, TargetsPerRack and Capacity describe the service's targets; their speeds are
	// drawn from Speeds.
	Targets, TargetsPerRack int
	Capacity                workload.Resources
	Speeds                  []float64
	// Organisations is how many organisations share the submissions evenly. Each is guaranteed
	// GuaranteedAccelerators.
	Organisations          int
	GuaranteedAccelerators int64
	// Length is how long jobs are submitted.
	Length time.Duration
	// RemoteFactor is how many times as long a gang runs that is spread over racks.
	RemoteFactor float64
	// Surges are times of more load than usual.
	Surges []Surge
	// Floods are times of more load from one organisation.
	Floods []Flood
	// Losses are times at which a part of the targets is lost.
	Losses []Loss
	// Return is the return of a zone; the zero Return is none.
	Return Return
	// ColdOverage and ColdSlack are as in the scheduler's limits.
	ColdOverage float64
	ColdSlack   int
	// ShareHalfLife is the scheduler's limit of that name.
	ShareHalfLife time.Duration
	// Faults are times in which a part of the targets fails or hangs runs that start there.
	Faults []Fault
}

// Surge multiplies the submissions of one class for some time.
type Surge struct {
	Class    int
	Factor   float64
	From, To time.Duration
}

// Flood multiplies the submissions of one organisation, in all classes, for some time.
type Flood struct {
	Organisation int
	Factor       float64
	From, To     time.Duration
}

// Loss removes a share of the targets at a time, with all that runs there.
type Loss struct {
	Share float64
	At    time.Duration
}

// Return is the return of a zone that is away from the start: the last targets, a share of all. They are
// Slowdown times as slow for ColdTime after it.
type Return struct {
	Share    float64
	At       time.Duration
	ColdTime time.Duration
	Slowdown float64
}

// returning reports whether a target is away until the return.
func (w *Workload) returning(i int) bool { return float64(i) >= float64(w.Targets)*(1-w.Return.Share) }

// Fault lets a share of the targets fail or hang shares of the runs that start there in some time.
type Fault struct {
	Share                float64
	FailShare, HangShare float64
	From, To             time.Duration
}

const service = "service"

// Mixed returns a workload of urgent gangs, large jobs and many small ones that keeps most of
// the given number of targets busy.
func Mixed(targets int) Workload {
	scale := float64(targets) / 1100
	return Workload{
		Targets: targets, TargetsPerRack: 12, Capacity: workload.Resources{MilliCores: 128000, MemoryMB: 262144, Accelerators: 8},
		Speeds: []float64{0.55, 1.2, 1.2, 1.2}, Organisations: 24, GuaranteedAccelerators: int64(12 * scale), Length: 30 * time.Second, RemoteFactor: 3, ShareHalfLife: share.DefaultHalfLife,
		Classes: []Class{
			{
				Queue:     catalogue.Queue{Name: "urgent", Priority: 0, MaxAttempts: 4, StretchFactor: 1.5, RuntimeObjective: 250 * time.Millisecond},
				PerSecond: 15 * scale, MeanTasks: 8, MaxTasks: 46, MeanWork: 2500 * time.Millisecond, WorkSpread: 0.5, EstimateError: 0.2,
				Needs: workload.Resources{MilliCores: 15000, MemoryMB: 39000}, Accelerators: []int64{1, 2, 4, 8, 8},
				GangShare: 1, SameRackShare: 0.8, FailureShare: 0.006, Worth: 4, LateWorth: 0.8,
			},
			{
				Queue:     catalogue.Queue{Name: "large", Priority: 1, MaxAttempts: 2, StretchFactor: 3, RuntimeObjective: time.Second},
				PerSecond: 2.2 * scale, MeanTasks: 26, MaxTasks: 160, MeanWork: 9 * time.Second, WorkSpread: 0.3, EstimateError: 0.9,
				Needs: workload.Resources{MilliCores: 52000, MemoryMB: 140000}, Accelerators: []int64{1, 2, 4, 8, 8},
				GangShare: 1, SameRackShare: 0.6, Checkpointing: true, CancelShare: 0.05, FailureShare: 0.002, Worth: 3, LateWorth: 0.9,
			},
			{
				Queue:     catalogue.Queue{Name: "small", Priority: 2, MaxAttempts: 3, StretchFactor: 3, RuntimeObjective: 3 * time.Second},
				PerSecond: 2.7 * scale, MeanTasks: 78, MaxTasks: 470, MeanWork: 8 * time.Second, WorkSpread: 0.3, EstimateError: 0.2,
				Needs: workload.Resources{MilliCores: 11000, MemoryMB: 29000}, Accelerators: []int64{1},
				Checkpointing: true, CancelShare: 0.1, FailureShare: 0.015, Worth: 1, LateWorth: 0.3,
			},
		},
	}
}

// catalogue returns the configuration under which the workload runs.
func (w *Workload) catalogue() *catalogue.Catalogue {
	out := &catalogue.Catalogue{Version: 1, Services: map[string]catalogue.Service{service: {Name: service, EnforcesCapacity: true}}, Organisations: map[string]catalogue.Organisation{}}
	for _, class := range w.Classes {
		queue := class.Queue
		queue.Service = service
		out.Queues = append(out.Queues, queue)
	}
	for i := range w.Organisations {
		name := organisationName(i)
		out.Organisations[name] = catalogue.Organisation{Name: name, GuaranteedAccelerators: w.GuaranteedAccelerators}
	}
	return out
}

func organisationName(i int) string { return fmt.Sprintf("organisation-%02d", i) }

// listings returns the entries of the targets.
func (w *Workload) listings() []target.Listing {
	out := make([]target.Listing, w.Targets)
	for i := range out {
		out[i] = target.Listing{
			ID: fmt.Sprintf("target-%04d", i), Service: service, Address: address, Rack: fmt.Sprintf("rack-%03d", i/w.TargetsPerRack), Born: 1, Capacity: w.Capacity,
		}
	}
	return out
}

// arrival is a job that callers submit at a time.
type arrival struct {
	at  time.Duration
	job *workload.Job
	// class is the index of the job's class, and work the true duration of one task at speed 1.
	class    int
	work     time.Duration
	cancelAt time.Duration
}

// arrivals returns the submissions in the order of their times.
func (w *Workload) arrivals(random *rand.Rand) []arrival {
	var out []arrival
	for i := range w.Classes {
		for at := time.Duration(0); at < w.Length; {
			rate := w.Classes[i].PerSecond * w.surgeAt(i, at) * (1 + w.floodAt(at)/float64(w.Organisations))
			at += time.Duration(random.ExpFloat64() / max(rate, 0.01) * float64(time.Second))
			if at < w.Length {
				out = append(out, w.arrival(random, i, at, len(out)))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return int(a.at - b.at) })
	return out
}

// surgeAt returns the factor by which more jobs of a class are submitted at a time.
func (w *Workload) surgeAt(class int, at time.Duration) float64 {
	factor := 1.0
	for _, surge := range w.Surges {
		if surge.Class == class && at >= surge.From && at < surge.To {
			factor *= surge.Factor
		}
	}
	return factor
}

// floodAt returns how many times as much as usual the organisations that flood submit in addition at a time.
func (w *Workload) floodAt(at time.Duration) float64 {
	more := 0.0
	for _, flood := range w.Floods {
		if at >= flood.From && at < flood.To {
			more += flood.Factor - 1
		}
	}
	return more
}

// organisationAt draws the organisation of a job that is submitted at a time.
func (w *Workload) organisationAt(random *rand.Rand, at time.Duration) string {
	if more := w.floodAt(at); more > 0 {
		drawn := random.Float64()*(float64(w.Organisations)+more) - float64(w.Organisations)
		for _, flood := range w.Floods {
			if at < flood.From || at >= flood.To {
				continue
			}
			if drawn >= 0 && drawn < flood.Factor-1 {
				return organisationName(flood.Organisation)
			}
			drawn -= flood.Factor - 1
		}
	}
	return organisationName(random.IntN(w.Organisations))
}

func (w *Workload) arrival(random *rand.Rand, index int, at time.Duration, number int) arrival {
	class := &w.Classes[index]
	work := float64(class.MeanWork) * math.Exp(class.WorkSpread*random.NormFloat64()-class.WorkSpread*class.WorkSpread/2)
	work = max(min(work, 3*float64(class.MeanWork)), float64(class.MeanWork)/5)
	needs := class.Needs
	needs.Accelerators = class.Accelerators[random.IntN(len(class.Accelerators))]
	step := workload.Step{
		Count: int(max(1, min(class.MeanTasks*random.ExpFloat64(), class.MaxTasks))), Needs: needs, Checkpointing: class.Checkpointing,
		Estimate: time.Duration(work * math.Exp(class.EstimateError*random.NormFloat64())),
	}
	if random.Float64() < class.GangShare {
		step.Gang, step.SameRack = true, random.Float64() < class.SameRackShare
	}
	a := arrival{at: at, class: index, work: time.Duration(work), job: &workload.Job{
		ID: fmt.Sprintf("%016x", number+1), Queue: class.Queue.Name, Organisation: w.organisationAt(random, at), Steps: []workload.Step{step},
	}}
	if random.Float64() < class.CancelShare {
		a.cancelAt = at + time.Duration(random.Int64N(int64(5*time.Second))) + time.Second
	}
	return a
}
