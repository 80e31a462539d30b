// Package ingress bounds what the clients of a listener can hold: connections, the memory of request
// bodies, and the time for sending a body and taking a response.
package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/ingress/budget"
	"github.com/eelgrasstide/eelgrasstide/internal/ingress/connections"
)

const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// memoryFactor is the memory that a body takes while it is read, in multiples of its size: its buffer
	// and the smaller one that it replaces.
	memoryFactor = 2
	firstBuffer  = 4 << 10
	kernelBuffer = 64 << 10
	// innerShare is the share of the memory for bodies that is kept for other hosts and operators.
	innerShare    = 0.25
	logInterval   = time.Second
	refusalRemedy = "retry the call after the time given in the Retry-After header"
)

// Ingress bounds what the clients of one listener can hold. Set the exported fields before Server.
type Ingress struct {
	// Name names the listener in logs and metrics.
	Name   string
	Limits Limits
	// Inner, if set, reports whether a request comes from another host or an operator. The bodies of these
	// have a share of the memory that those of clients cannot take.
	Inner   func(*http.Request) bool
	Metrics metrics.Registry
	Log     log.Interface

	prepared    sync.Once
	connections connections.Connections
	// bodies is the memory for the bodies of clients, and innerBodies that for Inner requests.
	bodies, innerBodies *budget.Budget
	// stopped is ended by stopBodies.
	stopped    context.Context
	stopBodies context.CancelFunc
	// logged bounds the log lines.
	logged rate.Sometimes
}

type connectionKey struct{}

func (i *Ingress) prepare() {
	i.prepared.Do(func() {
		i.bodies, i.innerBodies = i.Limits.NewBudget(), i.Limits.Share(innerShare).NewBudget()
		if i.Inner != nil {
			i.bodies = i.Limits.Share(1 - innerShare).NewBudget()
		}
		i.stopped, i.stopBodies = context.WithCancel(context.Background())
		i.connections.Max, i.connections.WriteTimeout, i.connections.BytesPerSecond = i.Limits.MaxConnections, i.Limits.WriteTimeout, i.Limits.BytesPerSecond
		i.connections.Closed = func(state string) { i.count("closed."+state, "") }
		i.logged.Interval = logInterval
		gauge := func(name string, value func() int64) {
			_ = i.Metrics.Register("ingress."+i.Name+"."+name, metrics.NewFunctionalGauge(value))
		}
		gauge("connections", func() int64 { return int64(i.connections.Open()) })
		gauge("bodyBytes", i.held)
	})
}

// held returns the bytes of bodies that are reserved.
func (i *Ingress) held() int64 { return i.bodies.Held() + i.innerBodies.Held() }

// Listen opens a listener whose connections are limited, as are the buffers that the kernel has for them.
func (i *Ingress) Listen(address string) (net.Listener, error) {
	i.prepare()
	configuration := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(descriptor uintptr) {
			// Connections inherit the sizes. Without them the kernel's own limits apply.
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, kernelBuffer)
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, kernelBuffer)
		})
	}}
	opened, err := configuration.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return i.connections.Listen(opened), nil
}

// Server returns a server for the connections that Listen's listener accepts.
func (i *Ingress) Server(handler http.Handler) *http.Server {
	i.prepare()
	return &http.Server{
		Handler: i.limitUnread(handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: i.connections.Track,
		ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, connection)
		},
	}
}

// limitUnread limits the time in which net/http reads a body that its handler leaves unread. Until the
// body has been read, the connection may be closed for others.
func (i *Ingress) limitUnread(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(i.Limits.BodyGrace))
			connection, _ := r.Context().Value(connectionKey{}).(net.Conn)
			i.connections.Receiving(connection)
		}
		next.ServeHTTP(w, r)
	})
}

// Wrap returns a handler that reads the body of each request, up to limit(r) bytes, and checks it, if check
// is set, before it calls next. A request that cannot be admitted is passed to refuse.
func (i *Ingress) Wrap(next http.Handler, limit func(*http.Request) int64, check func(*http.Request, []byte) error, refuse func(http.ResponseWriter, *http.Request, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body, release, err := i.ReadBody(w, r, limit(r))
		if err != nil {
			refuse(w, r, err)
			return
		}
		defer release()
		if check != nil {
			if err := check(r, body); err != nil {
				refuse(w, r, err)
				return
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// ReadBody reads the body of a request. Its memory is given back by release. Holders name whom it is
// counted for besides the client's address. Errors: a *http.MaxBytesError for a body beyond the limit, and
// Unavailable if there is no memory for the body or it does not arrive in time; the connection is then
// closed after the response.
func (i *Ingress) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, holders ...string) (body []byte, release func(), err error) {
	i.prepare()
	if r.ContentLength > limit {
		i.refuse(w, r, "bodySize")
		return nil, nil, &http.MaxBytesError{Limit: limit}
	}
	if address, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		holders = append(holders, "address:"+address.Addr().String())
	}
	reader := &bodyReader{ingress: i, w: w, r: r, limit: limit, holders: holders}
	if err := reader.reserve(); err != nil {
		return nil, nil, err
	}
	connection, _ := r.Context().Value(connectionKey{}).(net.Conn)
	body, err = reader.read()
	if err != nil {
		reader.release()
		return nil, nil, err
	}
	i.connections.Received(connection)
	reader.reserved.Shrink(int64(cap(body)))
	return body, reader.release, nil
}

// StopBodies refuses all bodies that have not arrived whole, those being read and later ones. Requests that
// have been read go on.
func (i *Ingress) StopBodies() {
	i.prepare()
	i.stopBodies()
}

// arrival returns a context that ends with the request's or by StopBodies.
func (i *Ingress) arrival(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(i.stopped, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// refuse counts the refusal of a request and ends it.
func (i *Ingress) refuse(w http.ResponseWriter, r *http.Request, limit string) {
	i.count("refused."+limit, r.RemoteAddr)
	i.end(w, r)
}

// end has the connection of a request closed after its response, without waiting for its body.
func (i *Ingress) end(w http.ResponseWriter, r *http.Request) {
	if connection, ok := r.Context().Value(connectionKey{}).(net.Conn); ok {
		i.connections.Refused(connection)
	}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
}

// count counts that a limit has acted and logs it, at most once a second.
func (i *Ingress) count(limit, client string) {
	metrics.GetOrRegisterCounter("ingress."+i.Name+"."+limit, i.Metrics).Inc(1)
	i.logged.Do(func() {
		i.Log.WithFields(log.Fields{
			"listener": i.Name, "limit": limit, "client": client, "connections": i.connections.Open(), "maxConnections": i.Limits.MaxConnections,
			"bodyBytes": i.held(), "bodyMemory": i.Limits.BodyMemory,
		}).Warn("ingress: a limit has acted")
	})
}

// bodyReader reads the body of one request.
type bodyReader struct {
	ingress *Ingress
	w       http.ResponseWriter
	r       *http.Request
	limit   int64
	holders []string
	// reserved is the memory of the body, of size bytes; nil if there is none.
	reserved *budget.Reservation
	size     int64
}

// reserve takes the memory for a body of the declared length, or for a small one if no length is given.
func (b *bodyReader) reserve() error {
	if b.r.ContentLength < 0 {
		return b.take(min(smallBytes, b.limit*memoryFactor))
	}
	return b.take(b.r.ContentLength * memoryFactor)
}

// release gives the memory back.
func (b *bodyReader) release() {
	if b.reserved != nil {
		b.reserved.Release()
	}
}

func (b *bodyReader) take(bytes int64) error {
	b.release()
	bodies := b.ingress.bodies
	if b.ingress.Inner != nil && b.ingress.Inner(b.r) {
		bodies = b.ingress.innerBodies
	}
	var ok bool
	if b.reserved, ok = bodies.Reserve(bytes, b.holders...); !ok {
		b.ingress.refuse(b.w, b.r, "bodyMemory")
		return errkind.Unavailable.New(refusalRemedy, "Ingress.ReadBody: there is no memory for a body of up to %d bytes now", bytes/memoryFactor)
	}
	b.size = bytes
	return nil
}

// read reads the body. Its buffer grows with what arrives.
func (b *bodyReader) read() ([]byte, error) {
	ctx, cancel := b.ingress.arrival(b.r)
	defer cancel()
	begun := time.Now()
	control := http.NewResponseController(b.w)
	// A stop of the host ends the wait for the rest of a body.
	stop := context.AfterFunc(ctx, func() { _ = control.SetReadDeadline(time.Now()) })
	defer stop()
	body := make([]byte, 0, b.capacity(0))
	for extended := 0; ; {
		if len(body) == cap(body) {
			if int64(len(body)) >= b.limit {
				break
			}
			if err := b.grow(&body); err != nil {
				return nil, err
			}
		}
		if len(body)-extended >= firstBuffer {
			extended = len(body)
			_ = control.SetReadDeadline(begun.Add(b.allowed(extended)))
		}
		if ctx.Err() != nil {
			return nil, b.late(ctx.Err())
		}
		count, err := b.r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case errors.Is(err, io.EOF):
			_ = control.SetReadDeadline(time.Time{})
			return body, nil
		case err != nil:
			return nil, b.late(err)
		}
	}
	// The body has the largest length; what follows must be its end.
	if count, err := io.ReadFull(b.r.Body, make([]byte, 1)); count > 0 {
		b.ingress.refuse(b.w, b.r, "bodySize")
		return nil, &http.MaxBytesError{Limit: b.limit}
	} else if !errors.Is(err, io.EOF) {
		return nil, b.late(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// capacity returns the size of the buffer after one of some bytes.
func (b *bodyReader) capacity(size int) int64 {
	largest := b.limit
	if b.r.ContentLength >= 0 {
		// The byte more lets the end be read without a larger buffer.
		largest = min(largest, b.r.ContentLength+1)
	}
	return min(max(2*int64(size), firstBuffer), largest)
}

// grow replaces the buffer by a larger one, for which a body without a declared length takes the memory.
func (b *bodyReader) grow(body *[]byte) error {
	size := b.capacity(len(*body))
	if size*memoryFactor > b.size && b.r.ContentLength < 0 {
		if err := b.take(b.limit * memoryFactor); err != nil {
			return err
		}
	}
	*body = append(make([]byte, 0, size), *body...)
	return nil
}

// allowed returns how long after its begin a body may take of which some bytes have arrived.
func (b *bodyReader) allowed(arrived int) time.Duration {
	return b.ingress.Limits.BodyGrace + time.Duration(float64(arrived)/float64(b.ingress.Limits.BytesPerSecond)*float64(time.Second))
}

// late refuses a body that did not arrive whole. Only if its time has ended has a limit acted: otherwise the
// client has closed the connection or sent a malformed body.
func (b *bodyReader) late(cause error) error {
	if errors.Is(cause, os.ErrDeadlineExceeded) || errors.Is(cause, context.Canceled) {
		b.ingress.refuse(b.w, b.r, "bodyTime")
	} else {
		b.ingress.end(b.w, b.r)
	}
	return errkind.Unavailable.New(refusalRemedy, "Ingress.ReadBody: the body did not arrive whole and in time, and nothing was written: %v", cause)
}
