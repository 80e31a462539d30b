// Package background runs the named background loops of a process and reports when they end.
package background

import (
	"context"

	"github.com/eelgrasstide/eelgrasstide/internal/panics"
)

// Exit is the end of one loop; Err is what the loop returned, or its panic as a *panics.Error.
type Exit struct {
	Name string
	Err  error
}

// Loop is a function that runs in the background until its context ends, with a name for the log.
type Loop struct {
	Name string
	Run  func(context.Context) error
}

// Start runs each loop in a goroutine. The channel gets the end of each loop and is closed
// after the last one.
func Start(ctx context.Context, loops ...Loop) <-chan Exit {
	ends := make(chan Exit, len(loops))
	done := make(chan struct{}, len(loops))
	for _, loop := range loops {
		go func() {
			defer func() { done <- struct{}{} }()
			ends <- Exit{Name: loop.Name, Err: loop.RunOnce(ctx)}
		}()
	}
	go func() {
		for range loops {
			<-done
		}
		close(ends)
	}()
	return ends
}

// RunOnce runs the loop in this goroutine until it ends, and returns a panic as a *panics.Error.
func (l Loop) RunOnce(ctx context.Context) (err error) {
	defer panics.Recover(l.Name, &err)
	return l.Run(ctx)
}
