//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond
	stopTakes   = 100 * time.Millisecond
	startupTime = 300 * time.Millisecond
	runnerTick  = 5 * time.Millisecond
	listedEnds  = 500
	// failsAfter is how long a run lasts on a runner that fails all.
	failsAfter = 100 * time.Millisecond
)

// lastingSpec is the payload of tasks that run until they are stopped, hourSpec that of tasks that take an hour.
// Those of other payloads take taskTime.
const (
	lastingSpec = "lasting"
	hourSpec    = "hour"
	taskTime    = 2 * time.Second
)

// takes returns how long a task of a payload runs; 0 for one that lasts.
func takes(spec string) time.Duration {
	switch spec {
	case lastingSpec:
		return 0
	case hourSpec:
		return time.Hour
	}
	return taskTime
}

// capacity is what a runner has, and what a task needs.
type capacity struct{ Cpu, MemMb, Gpus int64 }

// runner is one life of a runner as PROTOCOL.md describes it. It guards its capacity.
type runner struct {
	id, zone, rack, service string
	has                     capacity
	store                   *store
	log                     *recorder
	// needs returns what a task needs.
	needs func(task string) capacity
	// maxHold is the longest lease.
	maxHold time.Duration

	listener net.Listener
	server   *http.Server
	started  time.Time

	mu       sync.Mutex
	draining bool
	leavesAt time.Time
	gone     bool
	// failsAll says that the runner fails all that it runs, while its health check is good.
	failsAll bool
	token    int64
	leaseEnd time.Duration
	running  map[string]*run
	highest  map[string]int
	ends     []end
	nextEnd  int64
	cursor   int64
	changed  chan struct{}
	seq      int64
}

type run struct {
	number  int
	spec    string
	started time.Time
	stopAt  time.Time
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

func startRunner(s *store, log *recorder, id, zone, rack, service string, has capacity, needs func(string) capacity, maxHold time.Duration) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, zone: zone, rack: rack, service: service, has: has, store: s, log: log, needs: needs, maxHold: maxHold, listener: listener, started: time.Now().Add(-time.Minute),
		running: map[string]*run{}, highest: map[string]int{}, nextEnd: 1, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", r.start)
	mux.HandleFunc("POST /v1/run-stop", r.stop)
	mux.HandleFunc("POST /v1/hold", r.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	r.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if want := q.Header.Get("X-Expected-Instance"); want != "" && want != id {
			answer(w, http.StatusMisdirectedRequest, map[string]any{"ClockMs": r.clock().Milliseconds()})
			return
		}
		mux.ServeHTTP(w, q)
	})}
	go r.server.Serve(listener)
	go r.work()
	r.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			r.mu.Lock()
			gone := r.gone
			r.mu.Unlock()
			if gone {
				return
			}
			r.beat()
		}
	}()
	return r, nil
}

func (r *runner) clock() time.Duration { return time.Since(r.started) }

// beat writes the runner's entry.
func (r *runner) beat() {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"Service": r.service, "Address": r.listener.Addr().String(), "Zone": r.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Capacity": r.has, "Labels": []string{"a", r.rack}, "ClockMs": r.clock().Milliseconds(), "Seq": r.seq, "born": r.started.UnixMilli(),
	}
	if r.draining {
		entry["State"], entry["DrainRemainingMs"] = "draining", max(0, time.Until(r.leavesAt)).Milliseconds()
	}
	gone := r.gone
	r.mu.Unlock()
	if !gone {
		r.store.put("servers/"+r.id, entry)
	}
}

// withdraw announces that the runner leaves, and has it leave after the notice.
func (r *runner) withdraw(notice time.Duration) {
	r.mu.Lock()
	r.draining, r.leavesAt = true, time.Now().Add(notice)
	r.mu.Unlock()
	r.beat()
	r.log.add("runner %s is taken away in %s", r.id, notice)
	time.Sleep(notice)
	r.mu.Lock()
	r.gone = true
	for task, u := range r.running {
		r.log.ended(r.id, task, u.number, "gone with its runner")
	}
	r.running = map[string]*run{}
	r.mu.Unlock()
	r.server.Close()
	r.store.del("servers/" + r.id)
	r.log.add("runner %s has left", r.id)
}

// failAll sets whether the runner fails all that it runs.
func (r *runner) failAll(fails bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failsAll = fails
	r.log.add("runner %s fails all that it runs: %t", r.id, fails)
}

// crash ends the runner without a word. Its entry is removed after three heartbeats of silence.
func (r *runner) crash() {
	r.mu.Lock()
	r.gone = true
	r.log.add("runner %s crashes", r.id)
	for task, u := range r.running {
		r.log.ended(r.id, task, u.number, "gone with its runner")
	}
	r.running = map[string]*run{}
	r.mu.Unlock()
	r.server.Close()
	time.AfterFunc(3*heartbeat, func() { r.store.del("servers/" + r.id) })
}

// breakOff ends a run because another member of its gang has ended.
func (r *runner) breakOff(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[task] != nil {
		r.finish(task, "broken")
	}
}

// failOnce ends all runs as failed, as tasks may at any time.
func (r *runner) failOnce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.running {
		r.finish(task, "failed")
	}
}

// work ends runs whose time has come, whose stop has been carried out or whose lease has ended.
func (r *runner) work() {
	for range time.Tick(runnerTick) {
		r.mu.Lock()
		if r.gone {
			r.mu.Unlock()
			return
		}
		now, lapsed := time.Now(), r.clock() > r.leaseEnd
		for task, u := range r.running {
			switch {
			case lapsed:
				r.finish(task, "lapsed")
			case r.failsAll && now.Sub(u.started) > failsAfter:
				r.finish(task, "failed")
			case !u.stopAt.IsZero() && now.After(u.stopAt):
				r.finish(task, "stopped")
			case takes(u.spec) > 0 && now.Sub(u.started) > takes(u.spec):
				r.finish(task, "done")
			}
		}
		r.mu.Unlock()
	}
}

func (r *runner) finish(task, how string) {
	u := r.running[task]
	delete(r.running, task)
	r.highest[task] = max(r.highest[task], u.number)
	if r.nextEnd > r.cursor {
		r.ends = append(r.ends, end{r.nextEnd, task, u.number, how})
	}
	r.nextEnd++
	r.log.ended(r.id, task, u.number, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	AckCursor    int64
	WaitMs       int64
}

// admit decodes an order and checks its fencing token. It returns with the lock held if the order counts.
func (r *runner) admit(w http.ResponseWriter, q *http.Request) (order, bool) {
	o := order{}
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, map[string]any{"ClockMs": r.clock().Milliseconds()})
		return o, false
	}
	r.mu.Lock()
	if o.FencingToken < r.token {
		r.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"ClockMs": r.clock().Milliseconds(), "Reason": "fence"})
		return o, false
	}
	r.token = o.FencingToken
	return o, true
}

func (r *runner) extend(deadlineMs int64) {
	r.leaseEnd = max(r.leaseEnd, min(time.Duration(deadlineMs)*time.Millisecond, r.clock()+r.maxHold))
}

func (r *runner) start(w http.ResponseWriter, q *http.Request) {
	o, ok := r.admit(w, q)
	if !ok {
		return
	}
	reason := r.startRun(o)
	r.mu.Unlock()
	if reason != "" {
		answer(w, http.StatusConflict, map[string]any{"ClockMs": r.clock().Milliseconds(), "Reason": reason})
		return
	}
	answer(w, http.StatusOK, map[string]any{"ClockMs": r.clock().Milliseconds()})
}

func (r *runner) startRun(o order) string {
	if u := r.running[o.Task]; u != nil && u.number == o.Run {
		return ""
	}
	if o.Run <= r.highest[o.Task] || r.running[o.Task] != nil {
		r.extend(o.DeadlineMs)
		return "old"
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond <= r.clock() {
		return "late"
	}
	r.extend(o.DeadlineMs)
	used := r.needs(o.Task)
	for task := range r.running {
		n := r.needs(task)
		used.Cpu, used.MemMb, used.Gpus = used.Cpu+n.Cpu, used.MemMb+n.MemMb, used.Gpus+n.Gpus
	}
	if used.Cpu > r.has.Cpu || used.MemMb > r.has.MemMb || used.Gpus > r.has.Gpus {
		return "room"
	}
	r.running[o.Task] = &run{number: o.Run, spec: o.Spec, started: time.Now()}
	r.log.begun(r.id, o.Task, o.Run, o.FencingToken)
	return ""
}

func (r *runner) stop(w http.ResponseWriter, q *http.Request) {
	o, ok := r.admit(w, q)
	if !ok {
		return
	}
	if u := r.running[o.Task]; u != nil && u.number == o.Run && u.stopAt.IsZero() {
		u.stopAt = time.Now().Add(stopTakes)
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	r.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"ClockMs": r.clock().Milliseconds()})
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request) {
	o, ok := r.admit(w, q)
	if !ok {
		return
	}
	r.extend(o.DeadlineMs)
	r.cursor = max(r.cursor, o.AckCursor)
	kept := r.ends[:0]
	for _, e := range r.ends {
		if e.number > r.cursor {
			kept = append(kept, e)
		}
	}
	r.ends = kept
	until := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := true; waiting && len(r.ends) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, u := range r.running {
		whole := takes(u.spec)
		if whole == 0 {
			whole = startupTime
		}
		percent := min(100, int(100*time.Since(u.started)/whole))
		running = append(running, []any{task, u.number, "", percent, 0})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i]) < fmt.Sprint(running[j]) })
	for _, e := range r.ends[:min(len(r.ends), listedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"ClockMs": r.clock().Milliseconds(), "Running": running, "EndedRuns": ended, "born": r.started.UnixMilli()}
	r.mu.Unlock()
	answer(w, http.StatusOK, body)
}
