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

// trueSpeed returns the speed of the fixture's target i: one in four is slow and one is fast.
func trueSpeed(i int) float64 { return []float64{0.6, 1, 1, 1.7}[i%4] }

// runAll advances the runs of a step for some seconds and reports their progress every second.
// All members of a gang advance at the speed of the slowest.
func (f *fixture) runAll(starts []scheduler.Start, gang bool, work func(index int) float64, seconds int) {
	slowest := math.Inf(1)
	indexes := map[string]int{}
	for i := range 8 {
		indexes[fmt.Sprintf("t%d", i)] = i
	}
	for _, s := range starts {
		slowest = min(slowest, trueSpeed(indexes[s.Target]))
	}
	for second := range seconds {
		f.advance(time.Second)
		reports := map[int]target.Report{}
		for _, s := range starts {
			i := indexes[s.Target]
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

// endAll reports all runs as done. numbers holds the number of each target's last ended run.
func (f *fixture) endAll(starts []scheduler.Start, numbers map[string]int64) {
	f.advance(100 * time.Millisecond)
	reports := map[string]target.Report{}
	for _, s := range starts {
		numbers[s.Target]++
		report := reports[s.Target]
		report.Ended = append(report.Ended, target.Ended{Number: numbers[s.Target], Run: s.Run, Outcome: target.Done})
		reports[s.Target] = report
	}
	for id, report := range reports {
		report.Born, report.Clock = 1, f.clock()
		f.ReportReceived(f.now, id, f.now, report)
	}
}

// The targets' speeds are estimated from single tasks with different amounts of work. Gangs
// must not distort the estimates: their progress depends only on their slowest target.
func TestTargetSpeedsAreEstimated(t *testing.T) {
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
			estimateError := math.Exp(0.3 * random.NormFloat64())
			works := make([]float64, step.Count)
			for i := range works {
				works[i] = 30 * estimateError
				if !gang {
					works[i] *= math.Exp(0.25 * random.NormFloat64())
				}
			}
			f.submit(fmt.Sprintf("j%d", round), "batch", step)
			starts := f.startAll()
			if len(starts) != step.Count {
				t.Fatalf("seed %d, round %d: have %d starts, want %d", seed, round, len(starts), step.Count)
			}
			f.runAll(starts, gang, func(index int) float64 { return works[index] }, 4)
			f.endAll(starts, numbers)
		}
		mean := 0.0
		for i := range 8 {
			mean += math.Log(trueSpeed(i)) / 8
		}
		learned := f.LogSpeeds()
		for i := range 8 {
			have, want := float64(learned[fmt.Sprintf("t%d", i)]), math.Log(trueSpeed(i))-mean
			if math.Abs(have-want) > 0.25 {
				t.Errorf("seed %d, target %d: have a speed of %.2f, want %.2f", seed, i, math.Exp(have), math.Exp(want))
			}
		}
	}
}
