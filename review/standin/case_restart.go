//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["restart"] = restart }

// restart plays waves of short jobs that use all runners and leave them idle in between. One runner
// after the other crashes and starts again under its ID. It checks TWICE.
func restart(w *world) {
	const duration = 75 * time.Second
	until := time.Now().Add(duration)
	var group sync.WaitGroup
	group.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			id := fmt.Sprintf("%016x", 0x1000+i)
			w.fleet.expect(id, []taskSpec{{work: 250 * time.Millisecond, needs: lookupNeeds}})
			group.Go(func() { w.client.submit("/lookup/"+id, lookupJob(id, 4*len(w.runners), 250)) })
			time.Sleep(time.Duration(500+rand.IntN(300)) * time.Millisecond)
		}
	})
	if w.trouble {
		group.Go(func() {
			time.Sleep(10 * time.Second)
			for i := 0; time.Now().Before(until.Add(-5 * time.Second)); i++ {
				r := w.runners[i%len(w.runners)]
				r.crash()
				time.Sleep(time.Duration(200+rand.IntN(100)) * time.Millisecond)
				if err := r.begin(); err != nil {
					w.failure = err
					return
				}
				time.Sleep(time.Duration(1000+rand.IntN(500)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(15 * time.Second)
	if w.fleet.countDone() < minTasksDone {
		w.failure = errors.New("too few tasks have run")
		return
	}
	w.checkTwice()
}

// minTasksDone is how many tasks must end as done for the case to count as played.
const minTasksDone = 1000

// countDone returns how many runs have ended as done.
func (f *fleet) countDone() (done int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ends := range f.ends {
		for _, e := range ends {
			if e.how == "done" {
				done++
			}
		}
	}
	return done
}

var lookupNeeds = capacity{Cpu: 15000, MemMb: 44000, Gpus: 2}

// lookupJob is a job of one step.
func lookupJob(id string, count, estimateMs int) any {
	return map[string]any{"Spec": "spec of " + id, "Steps": []any{lookupStep(count, estimateMs)}}
}

func lookupStep(count, estimateMs int, after ...int) map[string]any {
	step := map[string]any{"Count": count, "Cpu": lookupNeeds.Cpu, "MemMb": lookupNeeds.MemMb, "Gpus": lookupNeeds.Gpus, "EstimateMs": estimateMs}
	if len(after) > 0 {
		step["After"] = after
	}
	return step
}

// checkTwice checks that no run of a task starts after one that ended as done and whose end was taken
// note of, without a lapse of the runner's lease between the two.
func (w *world) checkTwice() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for task, ends := range w.fleet.ends {
		for _, e := range ends {
			if e.how != "done" || e.notedAt.IsZero() || !e.lapsedBy.IsZero() {
				continue
			}
			for _, s := range w.fleet.starts[task] {
				if s.at.After(e.at) {
					w.violation("TWICE: %s run %d ended as done, its end was taken note of, and run %d started on %s %s after that end", task, e.run, s.run, s.runner, s.at.Sub(e.at).Round(time.Millisecond))
				}
			}
		}
	}
}
