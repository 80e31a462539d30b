// Package fault holds the typed errors of the system. Each message names the
// remedy.
package fault

import (
	"fmt"
	"net/http"

	"github.com/joomcode/errorx"
)

// Kind names a class of errors and the HTTP status that stands for it.
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
	// Conflict marks a write on an old revision.
	Conflict = newKind("conflict", http.StatusConflict)
	// Unavailable marks a call whose effect surely did not happen.
	Unavailable = newKind("unavailable", http.StatusServiceUnavailable)
	// Ambiguous marks a call whose effect may have happened.
	Ambiguous = newKind("ambiguous", http.StatusBadGateway)
	// Fenced marks work of a holder that has been replaced.
	Fenced = newKind("fenced", http.StatusConflict)
	// NotFound marks a name that nothing answers to.
	NotFound = newKind("notFound", http.StatusNotFound)
	// Gone marks a name that is known to be answered no longer.
	Gone = newKind("gone", http.StatusGone)
	// Denied marks a caller without the credential.
	Denied = newKind("denied", http.StatusForbidden)
)

func newKind(name string, status int) Kind {
	return Kind{errors: namespace.NewType(name), name: name, status: status}
}

// New returns an error of this kind. The remedy says what the reader can do.
func (k Kind) New(remedy, format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	return k.errors.New("%s; %s", text, remedy).WithProperty(remedyOf, remedy).WithProperty(kindOf, k)
}

// Is reports whether err is of this kind.
func (k Kind) Is(err error) bool { return errorx.IsOfType(err, k.errors) }

// Name returns the kind's name in bodies and logs.
func (k Kind) Name() string { return k.name }

// Status returns the HTTP status for err; 500 for errors without a kind.
func Status(err error) int {
	if kind, ok := kindFrom(err); ok {
		return kind.status
	}
	return http.StatusInternalServerError
}

// NameOf returns the kind's name of err; "internal" for errors without a kind.
func NameOf(err error) string {
	if kind, ok := kindFrom(err); ok {
		return kind.name
	}
	return "internal"
}

// Remedy returns what the reader of err can do, or an empty string.
func Remedy(err error) string {
	if value, ok := errorx.ExtractProperty(err, remedyOf); ok {
		return value.(string)
	}
	return ""
}

// Message returns the text of err without the kind's name.
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
