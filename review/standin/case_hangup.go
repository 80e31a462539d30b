//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["hangup"] = hangup }

const (
	// storeWritesPerS is the store's limit of the settings file.
	storeWritesPerS = 400
	lossSlack       = 200 * time.Millisecond
	steadyClients   = 450
)

// hangup plays a steady load of small jobs, somewhat over what the store takes. One host after the
// other gets SIGTERM and, while it stops, SIGHUP. It checks LOST for the calls in flight.
func hangup(w *world) {
	const duration = 40 * time.Second
	w.store.mu.Lock()
	w.store.writesPerS = storeWritesPerS
	w.store.mu.Unlock()
	until := time.Now().Add(duration)
	l := &lossCheck{world: w, stopping: map[*host]time.Time{}}
	var group sync.WaitGroup
	for number := range steadyClients {
		group.Go(func() { l.client(number, until) })
	}
	time.Sleep(6 * time.Second)
	for _, h := range w.hosts {
		l.stop(h)
		time.Sleep(5 * time.Second)
	}
	group.Wait()
	w.record.add("checked: %d calls, %d connections ended without an answer", l.calls, l.ended)
	if l.calls < 1000 {
		w.failure = fmt.Errorf("only %d calls were made", l.calls)
	}
}

// lossCheck counts the calls whose connections a stopping host ends without an answer.
type lossCheck struct {
	world *world

	mu sync.Mutex
	// stopping holds when each host last got SIGTERM.
	stopping map[*host]time.Time
	calls    int
	ended    int
}

// stop stops a host and starts it again. With the disruption, it gets SIGHUP a second later.
func (l *lossCheck) stop(h *host) {
	l.mu.Lock()
	l.stopping[h] = time.Now()
	l.mu.Unlock()
	if l.world.trouble {
		time.AfterFunc(time.Second, func() {
			h.record.add("host %s: gets signal %s", h.name, syscall.SIGHUP)
			h.mu.Lock()
			defer h.mu.Unlock()
			_ = h.process.Signal(syscall.SIGHUP)
		})
	}
	h.end(syscall.SIGTERM)
	if err := h.start(); err != nil {
		l.world.failure = err
	}
}

// client submits jobs over connections that it keeps, to the host of its zone or, if that takes no
// connections, to the next.
func (l *lossCheck) client(number int, until time.Time) {
	w := l.world
	for serial := 0; time.Now().Before(until); {
		var conn net.Conn
		var h *host
		for i := range w.hosts {
			h = w.hosts[(number+i)%len(w.hosts)]
			var err error
			if conn, err = net.DialTimeout("tcp", h.front, time.Second); err == nil {
				break
			}
		}
		if conn == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for time.Now().Before(until) {
			serial++
			pause, keep := l.submit(conn, reader, h, fmt.Sprintf("%08x%08x", number+1, serial))
			time.Sleep(pause)
			if !keep {
				break
			}
		}
		_ = conn.Close()
	}
}

// submit makes one call and returns the pause until the next and whether the connection stays open.
func (l *lossCheck) submit(conn net.Conn, reader *bufio.Reader, h *host, id string) (time.Duration, bool) {
	l.world.fleet.expect(id, []taskSpec{{work: 50 * time.Millisecond, needs: capacity{Cpu: 8000, MemMb: 8000, Gpus: 1}}})
	body := `{"Spec":"spec of ` + id + `","Steps":[{"Count":1,"Cpu":8000,"MemMb":8000,"Gpus":1,"EstimateMs":50}]}`
	head := fmt.Sprintf("POST /lookup/%s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Deadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		id, routeHost, tenantKey, clientDeadline.Milliseconds(), len(body))
	pause := time.Duration(300+rand.IntN(400)) * time.Millisecond
	if _, err := conn.Write([]byte(head + body)); err != nil {
		return pause, false
	}
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(clientDeadline))
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if err == nil {
		if response.StatusCode == http.StatusServiceUnavailable {
			pause += time.Second
		}
		return pause, !response.Close
	}
	after, stopping := time.Since(sent), l.stopping[h]
	l.ended++
	l.world.record.add("client: the connection to %s ended %s after the call was sent, without an answer: %v", h.name, after, err)
	if time.Since(stopping) < (graceS+1)*time.Second && after > lossSlack && after < clientDeadline {
		l.world.violation("LOST: a call to %s, which had got SIGTERM %s before, was cut off %s after it was sent", h.name, time.Since(stopping).Round(time.Millisecond), after.Round(time.Millisecond))
	}
	return pause, false
}
