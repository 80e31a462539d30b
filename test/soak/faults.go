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

// faultKind is one kind of fault. run returns when the fault is over.
type faultKind struct {
	name string
	run  func(d *deployment, params faultParams) error
}

// faultParams are the randomly chosen parameters of one fault; each kind uses some of them.
type faultParams struct {
	host       *host
	target     int
	duration   time.Duration
	shortDelay time.Duration
	count      int
}

// faultParams draws the parameters of the next fault.
func (d *deployment) faultParams() faultParams {
	return faultParams{
		host: d.hosts[d.random.IntN(len(d.hosts))], target: d.random.IntN(len(d.targets)),
		duration:   300*time.Millisecond + time.Duration(d.random.IntN(7000))*time.Millisecond,
		shortDelay: time.Duration(20+d.random.IntN(250)) * time.Millisecond, count: 1 + d.random.IntN(4),
	}
}

// storeFault returns a fault of the link between a host and the store.
func storeFault(apply func(*proxy, faultParams)) func(*deployment, faultParams) error {
	return func(_ *deployment, params faultParams) error {
		apply(params.host.store, params)
		params.host.markDisturbed()
		time.Sleep(params.duration)
		params.host.store.clearFaults()
		params.host.markDisturbed()
		return nil
	}
}

// targetFault returns a fault of the link between the hosts and a target.
func targetFault(apply func(*proxy, faultParams)) func(*deployment, faultParams) error {
	return func(d *deployment, params faultParams) error {
		link := d.targets[params.target].link
		apply(link, params)
		time.Sleep(params.duration)
		link.clearFaults()
		return nil
	}
}

func setMode(m mode) func(*proxy, faultParams) {
	return func(p *proxy, _ faultParams) { p.mode.Store(int32(m)) }
}
func slow(p *proxy, params faultParams)   { p.delay.Store(int64(params.shortDelay)) }
func resetOpen(p *proxy, _ faultParams)   { p.resetAll() }
func silenceOpen(p *proxy, _ faultParams) { p.silenceOpen() }

var faultKinds = []faultKind{
	{"a host is killed", func(_ *deployment, params faultParams) error { return params.host.kill(params.shortDelay) }},
	{"all hosts are killed", func(d *deployment, params faultParams) error {
		var group sync.WaitGroup
		for _, h := range d.hosts {
			group.Go(func() {
				if err := h.kill(params.shortDelay); err != nil {
					fmt.Fprintln(os.Stderr, "soak:", err)
				}
			})
		}
		group.Wait()
		return nil
	}},
	{"a host is frozen", func(_ *deployment, params faultParams) error { params.host.freeze(params.duration); return nil }},
	{"a host is stopped and started", func(d *deployment, params faultParams) error {
		inTime, err := params.host.stop()
		if !inTime {
			d.count("stops that took too long")
		}
		return err
	}},
	{"a host's settings are sent again", func(_ *deployment, params faultParams) error { params.host.signal(syscall.SIGHUP); return nil }},
	{"a host is cut from the store", storeFault(setMode(silence))},
	{"a host's calls to the store are lost", storeFault(setMode(loseRequests))},
	{"the store's answers to a host are lost", storeFault(setMode(loseAnswers))},
	{"the store refuses a host", storeFault(setMode(refuse))},
	{"the store is slow for a host", storeFault(slow)},
	{"a host's connections to the store are reset", storeFault(resetOpen)},
	{"a host's connections to the store go silent", storeFault(silenceOpen)},
	{"a target is cut", targetFault(setMode(silence))},
	{"a target's orders are lost", targetFault(setMode(loseRequests))},
	{"a target's answers are lost", targetFault(setMode(loseAnswers))},
	{"a target refuses connections", targetFault(setMode(refuse))},
	{"a target is slow to answer", targetFault(slow)},
	{"a target's connections are reset", targetFault(resetOpen)},
	{"a target's connections go silent", targetFault(silenceOpen)},
	{"a target restarts", func(d *deployment, params faultParams) error {
		return d.addTarget(context.Background(), params.target)
	}},
	{"a target carries orders out late", func(d *deployment, params faultParams) error {
		d.fleet.DelayOrders(d.targets[params.target].listing.ID, params.count)
		return nil
	}},
	{"the store is down", func(d *deployment, params faultParams) error {
		d.store.SetDown(true)
		time.Sleep(params.duration)
		d.store.SetDown(false)
		d.markStoreFault()
		return nil
	}},
	{"the store is busy", func(d *deployment, params faultParams) error {
		d.refusal.Store(http.StatusServiceUnavailable)
		time.Sleep(params.duration)
		d.refusal.Store(0)
		d.markStoreFault()
		return nil
	}},
	{"the store's answers are lost", func(d *deployment, params faultParams) error {
		d.store.LoseAnswers(params.count, 0)
		d.markStoreFault()
		return nil
	}},
	{"writes are carried out late", func(d *deployment, params faultParams) error {
		d.store.LoseAnswers(params.count, time.Second+params.shortDelay)
		d.markStoreFault()
		return nil
	}},
	{"the store forgets its history", func(d *deployment, _ faultParams) error { d.store.Compact(); d.markStoreFault(); return nil }},
	{"the configuration changes", func(d *deployment, _ faultParams) error { d.configure(); return nil }},
	{"the configuration changes twice", func(d *deployment, params faultParams) error {
		d.configure()
		time.Sleep(params.shortDelay)
		d.configure()
		return nil
	}},
}

// injectFaults starts overlapping faults until ctx ends, waits until they are over and returns
// their names.
func (d *deployment) injectFaults(ctx context.Context) (names []string) {
	var group sync.WaitGroup
	busy := map[*host]chan struct{}{}
	for _, h := range d.hosts {
		busy[h] = make(chan struct{}, 1)
	}
	for ctx.Err() == nil {
		fault, params := faultKinds[d.random.IntN(len(faultKinds))], d.faultParams()
		pause := time.Duration(100+d.random.IntN(1200)) * time.Millisecond
		names = append(names, fault.name)
		group.Go(func() {
			// Faults that drew the same host run one after the other. Others overlap.
			busy[params.host] <- struct{}{}
			defer func() { <-busy[params.host] }()
			if err := fault.run(d, params); err != nil {
				d.addViolation("soak: %s: %v", fault.name, err)
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
