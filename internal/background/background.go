// Package background runs the named loops of a process and reports their ends.
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

// Start runs the tasks. The channel carries the end of each and is closed after
// the last one.
func Start(ctx context.Context, tasks ...Task) <-chan Ended {
	ends := make(chan Ended, len(tasks))
	done := make(chan struct{}, len(tasks))
	for _, task := range tasks {
		go func() {
			defer func() { done <- struct{}{} }()
			ends <- Ended{Name: task.Name, Err: guard(ctx, task)}
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

func guard(ctx context.Context, task Task) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("background.Start: %s panicked: %v", task.Name, cause)
		}
	}()
	return task.Run(ctx)
}
