package settings

import (
	"os"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/backoff"
	"github.com/eelgrasstide/eelgrasstide/internal/decoder"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/loadcopy"
	"github.com/eelgrasstide/eelgrasstide/internal/policy"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// minDigestAge is the least age from which a digest of the load may count as unknown. It leaves time for a
// host to read each of the planner's digests, which are up to 2 s apart.
const minDigestAge = 3 * time.Second

// Front holds the product's own settings of a host on the platform, besides those that the platform sets.
type Front struct {
	*wire.FrontSettings
	decoder decoder.Decoder
}

// LoadFront reads a settings file; an empty path stands for an empty file. Errors are Invalid; an
// error about the content lists all mistakes.
func LoadFront(path string) (*Front, error) {
	if path == "" {
		return ParseFront("", nil)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Invalid.New("name a readable settings file, or none", "settings.LoadFront: %v", err)
	}
	return ParseFront(path, text)
}

// ParseFront does the same as LoadFront for the content of a file. Mistakes are reported under the
// given file name.
func ParseFront(file string, text []byte) (*Front, error) {
	f := &Front{FrontSettings: &wire.FrontSettings{}, decoder: decoder.Decoder{File: file}}
	f.decoder.Decode(text, f.FrontSettings)
	f.Defaults()
	return f, f.Validate()
}

// Defaults creates the tables that the file does not have, and sets the default values of the fields that
// are not set.
func (f *Front) Defaults() {
	if f.Policy == nil {
		f.Policy = &wire.PolicySettings{}
	}
	if f.Admission == nil {
		f.Admission = &wire.AdmissionSettings{}
	}
	setDuration(&f.Admission.MinRetryAfter, backoff.DefaultMin)
	setDuration(&f.Admission.MaxRetryAfter, backoff.DefaultMax)
	setDuration(&f.Admission.MaxDigestAge, loadcopy.DefaultMaxAge)
	if f.Ingress == nil {
		f.Ingress = &wire.IngressSettings{}
	}
}

// Validate returns all mistakes, those found while decoding included, as one error of kind
// Invalid, or nil.
func (f *Front) Validate() error {
	weights := f.SchedulingPolicy()
	for _, problem := range weights.Validate() {
		f.decoder.Report("policy."+problem.Key, problem.Remedy, "%s", problem.Text)
	}
	f.validateAdmission()
	reportIngress(&f.decoder, f.Ingress)
	return decoder.Err(f.decoder.Problems)
}

func (f *Front) validateAdmission() {
	shortest, longest := f.Admission.MinRetryAfter.AsDuration(), f.Admission.MaxRetryAfter.AsDuration()
	if shortest <= 0 {
		f.decoder.Report("admission.minRetryAfter", `use a duration above 0, such as "200ms"`, "%s is not above 0", shortest)
	}
	if longest < shortest {
		f.decoder.Report("admission.maxRetryAfter", "set it to at least minRetryAfter", "%s is below minRetryAfter, %s", longest, shortest)
	}
	if age := f.Admission.MaxDigestAge.AsDuration(); age < minDigestAge {
		f.decoder.Report("admission.maxDigestAge", "use a duration of at least "+minDigestAge.String(), "%s is below %s; the planner writes a digest each 2 s while jobs wait", age, minDigestAge)
	}
}

// SchedulingPolicy returns the policy that the settings describe; a nil Front has the default one.
func (f *Front) SchedulingPolicy() policy.Policy {
	if f == nil {
		return policy.FromSettings(nil)
	}
	return policy.FromSettings(f.GetPolicy())
}
