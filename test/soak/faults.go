package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// trouble is one kind of fault. It returns once the fault is over.
type trouble struct {
	name string
	run  func(w *world, r roll) error
}

// roll holds what chance has chosen for one fault.
type roll struct {
	host   *host
	target int
	wait   time.Duration
	small  time.Duration
	count  int
}

func (w *world) roll() roll {
	return roll{
		host: w.hosts[w.random.IntN(len(w.hosts))], target: w.random.IntN(len(w.targets)),
		wait:  300*time.Millisecond + time.Duration(w.random.IntN(7000))*time.Millisecond,
		small: time.Duration(20+w.random.IntN(250)) * time.Millisecond, count: 1 + w.random.IntN(4),
	}
}

// onStore brings trouble to a host's link to the store.
func onStore(begin func(*proxy, roll)) func(*world, roll) error {
	return func(_ *world, r roll) error {
		begin(r.host.store, r)
		r.host.disturb()
		time.Sleep(r.wait)
		r.host.store.heal()
		r.host.disturb()
		return nil
	}
}

func onTarget(begin func(*proxy, roll)) func(*world, roll) error {
	return func(w *world, r roll) error {
		link := w.targets[r.target].link
		begin(link, r)
		time.Sleep(r.wait)
		link.heal()
		return nil
	}
}

func setMode(m mode) func(*proxy, roll) { return func(p *proxy, _ roll) { p.mode.Store(int32(m)) } }
func slow(p *proxy, r roll)             { p.delay.Store(int64(r.small)) }
func resetOpen(p *proxy, _ roll)        { p.resetAll() }
func silenceOpen(p *proxy, _ roll)      { p.silenceOpen() }

var troubles = []trouble{
	{"a host is killed", func(_ *world, r roll) error { return r.host.kill(r.small) }},
	{"all hosts are killed", func(w *world, r roll) error {
		var group sync.WaitGroup
		for _, h := range w.hosts {
			group.Go(func() {
				if err := h.kill(r.small); err != nil {
					fmt.Fprintln(os.Stderr, "soak:", err)
				}
			})
		}
		group.Wait()
		return nil
	}},
	{"a host is frozen", func(_ *world, r roll) error { r.host.freeze(r.wait); return nil }},
	{"a host is stopped and started", func(w *world, r roll) error {
		inTime, err := r.host.stop()
		if !inTime {
			w.count("stops that took too long")
		}
		return err
	}},
	{"a host's settings are sent again", func(_ *world, r roll) error { r.host.signal(syscall.SIGHUP); return nil }},
	{"a host is cut from the store", onStore(setMode(silence))},
	{"a host's calls to the store are lost", onStore(setMode(loseRequests))},
	{"the store's answers to a host are lost", onStore(setMode(loseAnswers))},
	{"the store refuses a host", onStore(setMode(refuse))},
	{"the store is slow for a host", onStore(slow)},
	{"a host's connections to the store are reset", onStore(resetOpen)},
	{"a host's connections to the store go silent", onStore(silenceOpen)},
	{"a target is cut", onTarget(setMode(silence))},
	{"a target's orders are lost", onTarget(setMode(loseRequests))},
	{"a target's answers are lost", onTarget(setMode(loseAnswers))},
	{"a target refuses connections", onTarget(setMode(refuse))},
	{"a target is slow to answer", onTarget(slow)},
	{"a target's connections are reset", onTarget(resetOpen)},
	{"a target's connections go silent", onTarget(silenceOpen)},
	{"a target restarts", func(w *world, r roll) error { return w.addTarget(context.Background(), r.target) }},
	{"a target carries orders out late", func(w *world, r roll) error {
		w.fleet.CarryOutLate(w.targets[r.target].listing.ID, r.count)
		return nil
	}},
	{"the store is down", func(w *world, r roll) error {
		w.store.SetDown(true)
		time.Sleep(r.wait)
		w.store.SetDown(false)
		w.shake()
		return nil
	}},
	{"the store is busy", func(w *world, r roll) error {
		w.refusal.Store(http.StatusServiceUnavailable)
		time.Sleep(r.wait)
		w.refusal.Store(0)
		w.shake()
		return nil
	}},
	{"the store's answers are lost", func(w *world, r roll) error {
		w.store.LoseAnswers(r.count, 0)
		w.shake()
		return nil
	}},
	{"writes are carried out late", func(w *world, r roll) error {
		w.store.LoseAnswers(r.count, time.Second+r.small)
		w.shake()
		return nil
	}},
	{"the store forgets its history", func(w *world, _ roll) error { w.store.Compact(); w.shake(); return nil }},
	{"the configuration changes", func(w *world, _ roll) error { w.configure(); return nil }},
	{"the configuration changes twice", func(w *world, r roll) error {
		w.configure()
		time.Sleep(r.small)
		w.configure()
		return nil
	}},
}

// harass brings about faults that overlap, until ctx ends, and waits until they are over.
func (w *world) harass(ctx context.Context) (names []string) {
	var group sync.WaitGroup
	busy := map[*host]chan struct{}{}
	for _, h := range w.hosts {
		busy[h] = make(chan struct{}, 1)
	}
	for ctx.Err() == nil {
		chosen, r := troubles[w.random.IntN(len(troubles))], w.roll()
		pause := time.Duration(100+w.random.IntN(1200)) * time.Millisecond
		names = append(names, chosen.name)
		group.Go(func() {
			// One fault at a time is brought about on one host; others overlap.
			busy[r.host] <- struct{}{}
			defer func() { <-busy[r.host] }()
			if err := chosen.run(w, r); err != nil {
				w.breach("soak: %s: %v", chosen.name, err)
			}
		})
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	group.Wait()
	return names
}
