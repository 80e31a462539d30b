// Package errkind defines the kinds of errors of the scheduler. Each error has a remedy, which is
// also the last part of its message.
package errkind

import (
	"fmt"
	"net/http"

	"github.com/joomcode/errorx"
)

// Kind is a class of errors with a name and an HTTP status.
type Kind struct {
	errors *errorx.Type
	name   string
	status int
}

var (
	namespace = errorx.NewNamespace("eelgrasstide")
	remedyOf  = errorx.RegisterProperty("remedy")
	kindOf    = errorx.RegisterProperty("kind")

	// Invalid marks input that can never be accepted as it is.
	Invalid = newKind("invalid", http.StatusBadRequest)
	// Conflict marks a call that does not fit the current state, such as a write on an old
	// revision.
	Conflict = newKind("conflict", http.StatusConflict)
	// Unavailable marks a call that is known to have had no effect.
	Unavailable = newKind("unavailable", http.StatusServiceUnavailable)
	// Overloaded marks a call that is refused because of the load, and is known to have had no effect.
	Overloaded = newKind("overloaded", http.StatusTooManyRequests)
	// Ambiguous marks a call that may have taken effect.
	Ambiguous = newKind("ambiguous", http.StatusBadGateway)
	// Fenced marks a call by a former owner that another one has replaced.
	Fenced = newKind("fenced", http.StatusConflict)
	// NotFound marks a name that does not exist.
	NotFound = newKind("notFound", http.StatusNotFound)
	// Gone marks a job that is not known, or no longer known.
	Gone = newKind("gone", http.StatusGone)
	// TooLarge marks a call whose answer is larger than this program takes. It may have taken effect.
	TooLarge = newKind("tooLarge", http.StatusBadGateway)
	// Denied marks a caller without the required credential.
	Denied = newKind("denied", http.StatusForbidden)
)

func newKind(name string, status int) Kind {
	return Kind{errors: namespace.NewType(name), name: name, status: status}
}

// New returns an error of this kind. The remedy says what the reader of the error can do.
func (k Kind) New(remedy, format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	return k.errors.New("%s; %s", text, remedy).WithProperty(remedyOf, remedy).WithProperty(kindOf, k)
}

// Is reports whether err is of this kind.
func (k Kind) Is(err error) bool { return errorx.IsOfType(err, k.errors) }

// Name returns the kind's name as response bodies and logs show it.
func (k Kind) Name() string { return k.name }

// Status returns the HTTP status of err's kind; 500 for errors without a kind.
func Status(err error) int {
	if kind, ok := kindFrom(err); ok {
		return kind.status
	}
	return http.StatusInternalServerError
}

// NameOf returns the name of err's kind; "internal" for errors without a kind.
func NameOf(err error) string {
	if kind, ok := kindFrom(err); ok {
		return kind.name
	}
	return "internal"
}

// Remedy returns the remedy of err, or an empty string if it has none.
func Remedy(err error) string {
	if value, ok := errorx.ExtractProperty(err, remedyOf); ok {
		return value.(string)
	}
	return ""
}

// Message returns the message of err without the name of its kind.
func Message(err error) string {
	if typed := errorx.Cast(err); typed != nil {
		return typed.Message()
	}
	return err.Error()
}

func kindFrom(err error) (Kind, bool) {
	value, ok := errorx.ExtractProperty(err, kindOf)
	if !ok {
		return Kind{}, false
	}
	kind, ok := value.(Kind)
	return kind, ok
}
