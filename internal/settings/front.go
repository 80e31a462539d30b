package settings

import (
	"os"

	"github.com/eelgrasstide/eelgrasstide/internal/backoff"
	"github.com/eelgrasstide/eelgrasstide/internal/decoder"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/share"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

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
	setDuration(&f.Policy.ShareHalfLife, share.DefaultHalfLife)
	if f.Admission == nil {
		f.Admission = &wire.AdmissionSettings{}
	}
	setDuration(&f.Admission.MinRetryAfter, backoff.DefaultMin)
	setDuration(&f.Admission.MaxRetryAfter, backoff.DefaultMax)
	if f.Ingress == nil {
		f.Ingress = &wire.IngressSettings{}
	}
}

// Validate returns all mistakes, those found while decoding included, as one error of kind
// Invalid, or nil.
func (f *Front) Validate() error {
	f.validatePolicy()
	f.validateAdmission()
	return decoder.Err(f.decoder.Problems)
}

func (f *Front) validatePolicy() {
	if halfLife := f.Policy.ShareHalfLife.AsDuration(); halfLife <= 0 {
		f.decoder.Report("policy.shareHalfLife", `use a duration above 0, such as "10s"`, "%s is not above 0", halfLife)
	}
}

func (f *Front) validateAdmission() {
	shortest, longest := f.Admission.MinRetryAfter.AsDuration(), f.Admission.MaxRetryAfter.AsDuration()
	if shortest <= 0 {
		f.decoder.Report("admission.minRetryAfter", `use a duration above 0, such as "200ms"`, "%s is not above 0", shortest)
	}
	if longest < shortest {
		f.decoder.Report("admission.maxRetryAfter", "set it to at least minRetryAfter", "%s is below minRetryAfter, %s", longest, shortest)
	}
}
