package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/scheduler"
	"github.com/eelgrasstide/eelgrasstide/internal/target"
	"github.com/eelgrasstide/eelgrasstide/internal/workload"
)

// trueSpeed is how fast the fixture's targets are: one in four is slow and one fast.
func trueSpeed(i int) float64 { return []float64{0.6, 1, 1, 1.7}[i%4] }

// runAll lets the runs of a step get on for a while and reports their progress; the
// members of a gang get on as the slowest.
func (f *fixture) runAll(starts []scheduler.Start, gang bool, work func(index int) float64, seconds int) {
	slowest := math.Inf(1)
	where := map[string]int{}
	for i := range 8 {
		where[fmt.Sprintf("t%d", i)] = i
	}
	for _, s := range starts {
		slowest = min(slowest, trueSpeed(where[s.Target]))
	}
	for second := range seconds {
		f.after(time.Second)
		reports := map[int]target.Report{}
		for _, s := range starts {
			i := where[s.Target]
			speed := trueSpeed(i)
			if gang {
				speed = slowest
			}
			percent := min(99, int(100*float64(second+1)*speed/work(s.Run.Task.Index)))
			report := reports[i]
			report.Running = append(report.Running, target.Running{Run: s.Run, Percent: percent})
			reports[i] = report
		}
		for i, report := range reports {
			f.Deadline(f.now, fmt.Sprintf("t%d", i))
			f.report(i, report)
		}
		f.Step(f.now)
	}
}

// endAll reports that all runs are done.
func (f *fixture) endAll(starts []scheduler.Start, numbers map[string]int64) {
	f.after(100 * time.Millisecond)
	reports := map[string]target.Report{}
	for _, s := range starts {
		numbers[s.Target]++
		report := reports[s.Target]
		report.Ended = append(report.Ended, target.Ended{Number: numbers[s.Target], Run: s.Run, How: target.Done})
		reports[s.Target] = report
	}
	for id, report := range reports {
		report.Born, report.Clock = 1, f.clock()
		f.Reported(f.now, id, f.now, report)
	}
}

// Speeds are learned from single tasks of uneven work, and gangs do not blur them: a
// gang's progress tells only of its slowest target.
func TestSpeedsOfTargetsAreLearned(t *testing.T) {
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newFixture(t, 8)
		numbers := map[string]int64{}
		for round := range 16 {
			gang := round%2 == 1
			step := workload.Step{Count: 16, Estimate: 30 * time.Second, Needs: workload.Resources{MilliCores: 3000, MemoryMB: 100}}
			if gang {
				step.Gang, step.Count = true, 8
				step.Needs.MilliCores = 5000
			}
			off := math.Exp(0.3 * random.NormFloat64())
			uneven := make([]float64, step.Count)
			for i := range uneven {
				uneven[i] = 30 * off
				if !gang {
					uneven[i] *= math.Exp(0.25 * random.NormFloat64())
				}
			}
			f.submit(fmt.Sprintf("j%d", round), "batch", step)
			starts := f.begin()
			if len(starts) != step.Count {
				t.Fatalf("seed %d, round %d: have %d starts, want %d", seed, round, len(starts), step.Count)
			}
			f.runAll(starts, gang, func(index int) float64 { return uneven[index] }, 4)
			f.endAll(starts, numbers)
		}
		mean := 0.0
		for i := range 8 {
			mean += math.Log(trueSpeed(i)) / 8
		}
		learned := f.Speeds()
		for i := range 8 {
			have, want := float64(learned[fmt.Sprintf("t%d", i)]), math.Log(trueSpeed(i))-mean
			if math.Abs(have-want) > 0.25 {
				t.Errorf("seed %d, target %d: have a speed of %.2f, want %.2f", seed, i, math.Exp(have), math.Exp(want))
			}
		}
	}
}
