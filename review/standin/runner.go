//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// entryLifetime is how long the entry of a runner that writes nothing stays in the store.
	entryLifetime = 3 * heartbeat
	maxHold       = 6 * time.Second
	maxWait       = 2 * time.Second
	maxEnds       = 500
)

// capacity is what a runner has or a task needs.
type capacity struct{ Cpu, MemMb, Gpus int64 }

// run is a run of a task on a runner.
type run struct {
	number  int
	started time.Time
	work    time.Duration
	fails   bool
	needs   capacity
}

// end is the end of a run.
type end struct {
	number   int64
	task     string
	run      int
	how      string
	at       time.Time
	notedAt  time.Time
	lapsedBy time.Time
}

// life is one incarnation of a runner.
type life struct {
	born    time.Time
	token   int64
	cursor  int64
	ends    []*end
	running map[string]*run
	// closed holds the highest run of each task that ended or was stopped here.
	closed map[string]int
	// leaseEnd is on the life's own clock.
	leaseEnd time.Duration
	// lastLapse is when the lease last expired with something running or ended.
	lastLapse time.Time
	// held says that a hold has arrived.
	held   bool
	server *http.Server
}

// runner is a worker of the service. Its ID and address stay when it starts again.
type runner struct {
	id, zone, rack, service string
	room                    capacity
	address                 string
	store                   *store
	fleet                   *fleet
	record                  *record

	mu   sync.Mutex
	life *life
	seq  int64
	// cut says that the runner is cut off from all hosts and from the store.
	cut       bool
	cutEnds   chan struct{}
	lastWrote time.Time
}

// fleet knows all runners and what they ran.
type fleet struct {
	record *record
	mu     sync.Mutex
	// jobs says what the tasks of each step of a job need and do.
	jobs map[string][]taskSpec
	// starts holds all starts by task, and ends all ends.
	starts map[string][]startEvent
	ends   map[string][]*end
}

// taskSpec is what one task of a step does.
type taskSpec struct {
	work  time.Duration
	fails bool
	needs capacity
}

type startEvent struct {
	run    int
	runner string
	at     time.Time
}

func newFleet(r *record) *fleet {
	return &fleet{record: r, jobs: map[string][]taskSpec{}, starts: map[string][]startEvent{}, ends: map[string][]*end{}}
}

func (f *fleet) expect(job string, steps []taskSpec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job] = steps
}

func (f *fleet) spec(task string) (taskSpec, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return taskSpec{}, false
	}
	step, err := strconv.Atoi(parts[2])
	f.mu.Lock()
	defer f.mu.Unlock()
	steps, ok := f.jobs[parts[0]]
	if !ok || err != nil || step >= len(steps) {
		return taskSpec{}, false
	}
	return steps[step], true
}

// startsOf returns the starts of all tasks of a job, by task.
func (f *fleet) startsOf(job string) map[string][]startEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]startEvent{}
	for task, starts := range f.starts {
		if strings.HasPrefix(task, job+".") {
			out[task] = append([]startEvent(nil), starts...)
		}
	}
	return out
}

// begin starts a life of the runner and registers it.
func (r *runner) begin() error {
	listener, err := net.Listen("tcp", r.listenAddress())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.address = listener.Addr().String()
	l := &life{born: time.Now(), running: map[string]*run{}, closed: map[string]int{}}
	l.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(l, w, q) })}
	r.life, r.seq = l, 0
	r.mu.Unlock()
	go func() { _ = l.server.Serve(listener) }()
	r.record.add("runner %s: begins, born %d", r.id, l.born.UnixMilli())
	r.register()
	return nil
}

func (r *runner) listenAddress() string {
	if r.address == "" {
		return "127.0.0.1:0"
	}
	return r.address
}

// crash ends the life at once, with all its connections.
func (r *runner) crash() {
	r.mu.Lock()
	l := r.life
	r.life = nil
	r.record.add("runner %s: crashes with %d runs", r.id, len(l.running))
	r.mu.Unlock()
	_ = l.server.Close()
}

// heartbeats registers the runner again and again, and lets its entry expire while it is silent.
func (r *runner) heartbeats() {
	time.Sleep(rand.N(heartbeat))
	for {
		time.Sleep(heartbeat)
		r.register()
		r.mu.Lock()
		expired := !r.lastWrote.IsZero() && time.Since(r.lastWrote) > entryLifetime
		if expired {
			r.lastWrote = time.Time{}
		}
		r.mu.Unlock()
		if expired {
			r.record.add("store: the entry of runner %s has expired", r.id)
			r.store.drop("servers/" + r.id)
		}
	}
}

func (r *runner) register() {
	r.mu.Lock()
	if r.life == nil || r.cut {
		r.mu.Unlock()
		return
	}
	r.seq++
	r.lastWrote = time.Now()
	entry := map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": "1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Seq": r.seq,
		"Capacity": r.room, "Labels": []string{"a", r.rack}, "Machine": "m-" + r.id, "ClockMs": time.Since(r.life.born).Milliseconds(), "born": r.life.born.UnixMilli(),
	}
	r.mu.Unlock()
	r.store.put("servers/"+r.id, entry)
}

// order is the body of an order to a runner.
type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Checkpoint   string
	AckCursor    int64
	WaitMs       int64
}

func (r *runner) serve(l *life, w http.ResponseWriter, q *http.Request) {
	received := order{}
	if err := json.NewDecoder(q.Body).Decode(&received); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	r.dropIfCut(q.Context())
	if q.Header.Get("X-Expected-Instance") != r.id {
		answer(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	r.mu.Lock()
	status, body := http.StatusOK, map[string]any{}
	l.update(r)
	if received.FencingToken < l.token {
		status, body["Reason"] = http.StatusConflict, "fence"
	} else {
		l.token = received.FencingToken
		switch q.URL.Path {
		case "/v1/run-start":
			status = r.start(l, received, body)
		case "/v1/run-stop":
			r.stop(l, received)
		case "/v1/hold":
			r.hold(l, received, body)
		case "/v1/pace":
		default:
			status = http.StatusNotFound
		}
	}
	body["ClockMs"] = time.Since(l.born).Milliseconds()
	r.mu.Unlock()
	r.dropIfCut(q.Context())
	answer(w, status, body)
}

// dropIfCut drops a request or its answer while the runner is cut off: the caller hears nothing.
func (r *runner) dropIfCut(ctx context.Context) {
	r.mu.Lock()
	ends := r.cutEnds
	r.mu.Unlock()
	if ends == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-ends:
	}
	panic(http.ErrAbortHandler)
}

// cutOff cuts the runner off from all hosts and from the store for a time.
func (r *runner) cutOff(duration time.Duration) {
	r.mu.Lock()
	r.cut, r.cutEnds = true, make(chan struct{})
	r.record.add("runner %s: is cut off", r.id)
	r.mu.Unlock()
	time.Sleep(duration)
	r.mu.Lock()
	r.record.add("runner %s: is no longer cut off", r.id)
	ends := r.cutEnds
	r.cut, r.cutEnds = false, nil
	r.mu.Unlock()
	close(ends)
	r.register()
}

func (r *runner) start(l *life, o order, body map[string]any) int {
	l.prolong(o.DeadlineMs)
	if current := l.running[o.Task]; current != nil && current.number == o.Run {
		return http.StatusOK
	}
	reason := ""
	spec, known := r.fleet.spec(o.Task)
	switch {
	case !known:
		r.record.add("runner %s: UNKNOWN TASK %s run %d", r.id, o.Task, o.Run)
		return http.StatusBadRequest
	case o.Run <= l.closed[o.Task] || l.running[o.Task] != nil:
		reason = "old"
	case o.DeadlineMs <= time.Since(l.born).Milliseconds():
		reason = "late"
	case !l.fits(r.room, spec.needs):
		reason = "room"
	}
	if reason != "" {
		body["Reason"] = reason
		r.record.add("runner %s: refuses %s run %d: %s", r.id, o.Task, o.Run, reason)
		return http.StatusConflict
	}
	l.running[o.Task] = &run{number: o.Run, started: time.Now(), work: spec.work, fails: spec.fails, needs: spec.needs}
	r.record.add("runner %s: starts %s run %d, fencing token %d", r.id, o.Task, o.Run, o.FencingToken)
	r.fleet.mu.Lock()
	r.fleet.starts[o.Task] = append(r.fleet.starts[o.Task], startEvent{run: o.Run, runner: r.id, at: time.Now()})
	r.fleet.mu.Unlock()
	return http.StatusOK
}

func (l *life) fits(room, needs capacity) bool {
	for _, r := range l.running {
		room.Cpu, room.MemMb, room.Gpus = room.Cpu-r.needs.Cpu, room.MemMb-r.needs.MemMb, room.Gpus-r.needs.Gpus
	}
	return needs.Cpu <= room.Cpu && needs.MemMb <= room.MemMb && needs.Gpus <= room.Gpus
}

// prolong applies the deadline of an order; it never shortens the lease.
func (l *life) prolong(deadlineMs int64) {
	deadline := min(time.Duration(deadlineMs)*time.Millisecond, time.Since(l.born)+maxHold)
	l.leaseEnd = max(l.leaseEnd, deadline)
}

func (r *runner) stop(l *life, o order) {
	l.closed[o.Task] = max(l.closed[o.Task], o.Run)
	if current := l.running[o.Task]; current != nil && current.number <= o.Run {
		l.finish(r, o.Task, "stopped", time.Now())
	}
}

// hold answers with what runs and with the ends beyond the cursor.
func (r *runner) hold(l *life, o order, body map[string]any) {
	if !l.held {
		l.held = true
		r.record.add("runner %s: the first hold of this life has the cursor %d", r.id, o.AckCursor)
	}
	r.acknowledge(l, o.AckCursor)
	l.prolong(o.DeadlineMs)
	until := time.Now().Add(min(time.Duration(o.WaitMs)*time.Millisecond, maxWait))
	for len(l.listed()) == 0 && time.Now().Before(until) && r.life == l && !r.cut {
		r.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
		l.update(r)
	}
	tasks := make([]string, 0, len(l.running))
	for task := range l.running {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	rows := [][]any{}
	for _, task := range tasks {
		current := l.running[task]
		percent := min(99, int(100*time.Since(current.started)/current.work))
		rows = append(rows, []any{task, current.number, "", percent, current.needs.Cpu})
	}
	ended := [][]any{}
	for _, e := range l.listed() {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	body["born"], body["Running"], body["EndedRuns"] = l.born.UnixMilli(), rows, ended
}

// acknowledge moves the cursor: ends up to it are forgotten.
func (r *runner) acknowledge(l *life, cursor int64) {
	if cursor <= l.cursor {
		return
	}
	if most := int64(len(l.ends)); cursor > most {
		r.record.add("runner %s: receives the cursor %d, and has %d ends", r.id, cursor, most)
	}
	l.cursor = cursor
	for _, e := range l.ends {
		l.note(r, e)
	}
}

// note records that the cursor has reached an end.
func (l *life) note(r *runner, e *end) {
	if e.number <= l.cursor && e.notedAt.IsZero() {
		e.notedAt = time.Now()
		r.record.add("runner %s: end %d is taken note of: %s run %d %s", r.id, e.number, e.task, e.run, e.how)
	}
}

// listed returns the ends that are not forgotten.
func (l *life) listed() []*end {
	from := min(int(l.cursor), len(l.ends))
	return l.ends[from:min(len(l.ends), from+maxEnds)]
}

// update ends the runs that are finished or whose lease has expired.
func (l *life) update(r *runner) {
	leaseEnds := l.born.Add(l.leaseEnd)
	now := time.Now()
	for task, current := range l.running {
		done := current.started.Add(current.work)
		switch {
		case !done.After(now) && !done.After(leaseEnds):
			how := "done"
			if current.fails {
				how = "failed"
			}
			l.finish(r, task, how, done)
		case !leaseEnds.After(now):
			l.finish(r, task, "lapsed", leaseEnds)
		}
	}
	if !leaseEnds.After(now) {
		l.lastLapse = leaseEnds
	}
	for _, e := range l.ends {
		if e.notedAt.IsZero() && e.lapsedBy.IsZero() && l.lastLapse.After(e.at) {
			e.lapsedBy = l.lastLapse
		}
	}
}

func (l *life) finish(r *runner, task, how string, at time.Time) {
	current := l.running[task]
	delete(l.running, task)
	l.closed[task] = max(l.closed[task], current.number)
	e := &end{number: int64(len(l.ends)) + 1, task: task, run: current.number, how: how, at: at}
	l.ends = append(l.ends, e)
	r.record.add("runner %s: end %d: %s run %d %s", r.id, e.number, task, e.run, how)
	l.note(r, e)
	r.fleet.mu.Lock()
	r.fleet.ends[task] = append(r.fleet.ends[task], e)
	r.fleet.mu.Unlock()
}

// tick keeps the ends of a runner's runs in time although nobody asks.
func (r *runner) tick() {
	for {
		time.Sleep(5 * time.Millisecond)
		r.mu.Lock()
		if r.life != nil {
			r.life.update(r)
		}
		r.mu.Unlock()
	}
}

func newRunner(index int, zone string, s *store, f *fleet) *runner {
	return &runner{
		id: fmt.Sprintf("w%02d", index), zone: zone, rack: "r-" + zone, service: "lookup", room: capacity{Cpu: 128000, MemMb: 524288, Gpus: 8},
		store: s, fleet: f, record: f.record,
	}
}
