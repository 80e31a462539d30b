// Package background runs the named background loops of a process and reports when they end.
package background

import (
	"context"
	"fmt"
)

// Ended reports the end of one task.
type Ended struct {
	Name string
	Err  error
}

// Task is one background loop. It returns when its context ends.
type Task struct {
	Name string
	Run  func(context.Context) error
}

// Start runs each task in a goroutine. The channel gets the end of each task and is closed after the
// last one.
func Start(ctx context.Context, tasks ...Task) <-chan Ended {
	ends := make(chan Ended, len(tasks))
	done := make(chan struct{}, len(tasks))
	for _, task := range tasks {
		go func() {
			defer func() { done <- struct{}{} }()
			ends <- Ended{Name: task.Name, Err: runRecovering(ctx, task)}
		}()
	}
	go func() {
		for range tasks {
			<-done
		}
		close(ends)
	}()
	return ends
}

// runRecovering runs a task and returns a panic as an error.
func runRecovering(ctx context.Context, task Task) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("background.Start: %s panicked: %v", task.Name, cause)
		}
	}()
	return task.Run(ctx)
}
