// Package panics turns panics into errors, so that they end a loop or a call and not the process.
package panics

import (
	"fmt"
	"runtime/debug"
)

// maxStackBytes bounds the stack that an Error holds, as it is written to the log.
const maxStackBytes = 2 << 10

// Error is a panic that was recovered.
type Error struct {
	// Where names what panicked, for the log.
	Where string
	// Value is the value of the panic.
	Value any
	// Stack is the stack of the goroutine, from the call of Recover on.
	Stack string
}

func (e *Error) Error() string { return fmt.Sprintf("%s panicked: %v", e.Where, e.Value) }

// Recover sets err to an Error if the goroutine panics, and leaves it as it is otherwise. It has to be deferred
// itself.
func Recover(where string, err *error) {
	if value := recover(); value != nil {
		stack := debug.Stack()
		*err = &Error{Where: where, Value: value, Stack: string(stack[:min(len(stack), maxStackBytes)])}
	}
}

// Guard returns what decode returns, or its panic as an error, so that a value from outside which a decoder can't
// handle is a bad value and no more.
func Guard[T any](where string, decode func() (T, error)) (out T, err error) {
	defer Recover(where, &err)
	return decode()
}
