//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in of one runner. It may crash and start again under its id.
type runner struct {
	w                *world
	id, zone, rack   string
	cpu, memMB, gpus int
	work             func(task string) time.Duration
	onStart          func(r *runner, o order)
	address          string
	stopBeats        chan struct{}

	mu       sync.Mutex
	state    string
	leavesAt time.Time
	// failing says that the runner fails all that it starts.
	failing  bool
	server   *http.Server
	kind     string
	born     int64
	started  time.Time
	token    int64
	leaseEnd time.Duration
	running  map[string]*running
	highest  map[string]int
	ends     []ended
	nextEnd  int64
	cursor   int64
	changed  chan struct{}
}

type running struct {
	run, cpu, memMB, gpus int
	started               time.Time
	work                  time.Duration
	fails                 bool
	stopAt                time.Time
}

type ended struct {
	number int64
	task   string
	run    int
	how    string
}

// order is the body of any order.
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

// addRunner makes a runner with the room of 128 cores, 512 GB and 8 GPUs.
func (w *world) addRunner(id, zone, rack, kind string, work func(string) time.Duration, onStart func(*runner, order)) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{w: w, id: id, zone: zone, rack: rack, cpu: 128000, memMB: 524288, gpus: 8, work: work, onStart: onStart, address: listener.Addr().String()}
	r.begin(listener, kind)
	return r, nil
}

// begin starts a life: it serves, and registers at once.
func (r *runner) begin(listener net.Listener, kind string) {
	r.mu.Lock()
	r.state, r.kind, r.born, r.started, r.token, r.leaseEnd = "ready", kind, time.Now().UnixMilli(), time.Now(), 0, 0
	r.running, r.highest, r.ends, r.nextEnd, r.cursor = map[string]*running{}, map[string]int{}, nil, 1, 0
	r.changed, r.stopBeats = make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	r.server = server
	stop := r.stopBeats
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.register()
	r.w.note("runner %s begins: kind %s, born %d", r.id, kind, r.born)
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				r.register()
			}
		}
	}()
}

func (r *runner) register() {
	r.mu.Lock()
	entry := map[string]any{
		"Service": "s", "Address": r.address, "Zone": r.zone, "State": r.state, "Version": "1", "Slots": 8, "ColdRemainingMs": 0,
		"Seq": time.Since(r.started).Milliseconds(), "born": r.born, "ClockMs": r.clock().Milliseconds(), "Labels": []string{r.kind, r.rack},
		"Capacity": map[string]int{"Cpu": r.cpu, "MemMb": r.memMB, "Gpus": r.gpus},
	}
	if r.state == "draining" {
		entry["DrainRemainingMs"] = max(0, time.Until(r.leavesAt).Milliseconds())
	}
	r.mu.Unlock()
	r.w.put("servers/"+r.id, entry)
}

// failTime is how long a run takes on a runner that fails all that it starts.
const failTime = 300 * time.Millisecond

// fail lets the runner fail all that it starts, and what runs, or ends that.
func (r *runner) fail(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = failing
	for _, run := range r.running {
		run.fails = failing
	}
	r.w.note("runner %s fails all that it starts: %v", r.id, failing)
}

// crash ends the life at once: its connections are closed, and what ran is gone.
func (r *runner) crash() {
	r.mu.Lock()
	server, runs := r.server, len(r.running)
	close(r.stopBeats)
	r.running = map[string]*running{}
	r.mu.Unlock()
	server.Close()
	r.w.note("runner %s ends with %d runs", r.id, runs)
}

// leave is a planned shutdown: the runner reports that it drains, serves on for DrainMs and a little longer,
// and exits. Its entry is removed then.
func (r *runner) leave() {
	r.mu.Lock()
	r.state, r.leavesAt = "draining", time.Now().Add(drainTime)
	r.mu.Unlock()
	r.register()
	r.w.note("runner %s drains", r.id)
	time.Sleep(drainTime + 500*time.Millisecond)
	r.crash()
	r.w.remove("servers/" + r.id)
}

// restart begins another life at the same address and under the same id.
func (r *runner) restart(kind string) error {
	var err error
	for range 50 {
		var listener net.Listener
		if listener, err = net.Listen("tcp", r.address); err == nil {
			r.begin(listener, kind)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

func (r *runner) clock() time.Duration { return time.Since(r.started) }

// settle ends the runs that are over. The caller holds mu.
func (r *runner) settle() {
	lapsed := r.clock() > r.leaseEnd
	for task, run := range r.running {
		how := ""
		switch {
		case !run.stopAt.IsZero() && time.Now().After(run.stopAt):
			how = "stopped"
		case run.fails && time.Since(run.started) >= failTime:
			how = "failed"
		case time.Since(run.started) >= run.work:
			how = "done"
		case lapsed:
			how = "lapsed"
		}
		if how != "" {
			r.end(task, run.run, how)
		}
	}
}

func (r *runner) end(task string, run int, how string) {
	delete(r.running, task)
	r.highest[task] = max(r.highest[task], run)
	if r.nextEnd > r.cursor {
		r.ends = append(r.ends, ended{r.nextEnd, task, run, how})
	}
	r.nextEnd++
	close(r.changed)
	r.changed = make(chan struct{})
	r.w.note("runner %s: %s/%d ends %s", r.id, task, run, how)
}

func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	o := order{}
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if request.Header.Get("X-Expected-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
	status, reason := http.StatusOK, ""
	switch {
	case o.FencingToken < r.token:
		status, reason = http.StatusConflict, "fence"
	case request.URL.Path == "/v1/run-start":
		r.token = o.FencingToken
		reason = r.start(o)
		if reason != "" {
			status = http.StatusConflict
		}
		r.w.note("runner %s (kind %s): run-start %s/%d token %d: %d %s", r.id, r.kind, o.Task, o.Run, o.FencingToken, status, reason)
	case request.URL.Path == "/v1/run-stop":
		r.token = o.FencingToken
		if run := r.running[o.Task]; run != nil && run.run == o.Run && run.stopAt.IsZero() {
			run.stopAt = time.Now().Add(stopTime / 2)
		}
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		r.w.note("runner %s: run-stop %s/%d", r.id, o.Task, o.Run)
	case request.URL.Path == "/v1/hold":
		r.token = o.FencingToken
		r.extend(o.DeadlineMs)
		r.acknowledge(o.AckCursor)
		r.await(request, time.Duration(o.WaitMs)*time.Millisecond)
	default:
		status = http.StatusNotFound
	}
	r.answer(w, request, status, reason)
}

func (r *runner) answer(w http.ResponseWriter, request *http.Request, status int, reason string) {
	body := map[string]any{"ClockMs": r.clock().Milliseconds()}
	if reason != "" {
		body["Reason"] = reason
	}
	if request.URL.Path == "/v1/hold" && status == http.StatusOK {
		runs, ends := [][]any{}, [][]any{}
		for task, run := range r.running {
			runs = append(runs, []any{task, run.run, "", min(99, int(100*time.Since(run.started)/max(run.work, 1))), run.cpu})
		}
		for _, e := range r.ends[:min(len(r.ends), maxListedEnds)] {
			ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
		}
		body["born"], body["Running"], body["EndedRuns"] = r.born, runs, ends
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (r *runner) extend(deadlineMs int64) {
	r.leaseEnd = max(r.leaseEnd, min(time.Duration(deadlineMs)*time.Millisecond, r.clock()+maxHold))
}

// acknowledge forgets the ends up to a number.
func (r *runner) acknowledge(cursor int64) {
	r.cursor = max(r.cursor, cursor)
	for len(r.ends) > 0 && r.ends[0].number <= r.cursor {
		r.ends = r.ends[1:]
	}
}

// await waits until an end is there. The caller holds mu.
func (r *runner) await(request *http.Request, wait time.Duration) {
	until := time.Now().Add(wait)
	for len(r.ends) == 0 && time.Now().Before(until) && request.Context().Err() == nil {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		}
		r.mu.Lock()
		r.settle()
	}
}

// start begins a run, or returns the reason for a refusal.
func (r *runner) start(o order) string {
	if run := r.running[o.Task]; run != nil && run.run == o.Run {
		return ""
	}
	if o.Run <= r.highest[o.Task] {
		r.extend(o.DeadlineMs)
		return "old"
	}
	if time.Duration(o.DeadlineMs)*time.Millisecond <= r.clock() {
		return "late"
	}
	r.extend(o.DeadlineMs)
	spec := parseSpec(o.Spec)
	cpu, memMB, gpus := spec.cpu, spec.memMB, spec.gpus
	for _, run := range r.running {
		cpu, memMB, gpus = cpu+run.cpu, memMB+run.memMB, gpus+run.gpus
	}
	if cpu > r.cpu || memMB > r.memMB || gpus > r.gpus {
		return "room"
	}
	r.running[o.Task] = &running{run: o.Run, cpu: spec.cpu, memMB: spec.memMB, gpus: spec.gpus, started: time.Now(), work: r.work(o.Task), fails: r.failing}
	if r.onStart != nil {
		r.onStart(r, o)
	}
	return ""
}

// need is what a task needs. The platform knows it from the job; here the payload says it.
type need struct{ cpu, memMB, gpus int }

func (n need) spec() string { return fmt.Sprintf("%d %d %d", n.cpu, n.memMB, n.gpus) }

func parseSpec(spec string) need {
	n := need{}
	_, _ = fmt.Sscanf(spec, "%d %d %d", &n.cpu, &n.memMB, &n.gpus)
	return n
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// runs returns how many runs there are.
func (r *runner) runs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle()
	return len(r.running)
}
