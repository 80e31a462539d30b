package settings

import (
	"os"

	"github.com/eelgrasstide/eelgrasstide/internal/decoder"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/policy"
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

// Defaults creates the tables that the file does not have.
func (f *Front) Defaults() {
	if f.Policy == nil {
		f.Policy = &wire.PolicySettings{}
	}
	if f.Admission == nil {
		f.Admission = &wire.AdmissionSettings{}
	}
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
	return decoder.Err(f.decoder.Problems)
}

// SchedulingPolicy returns the policy that the settings describe; a nil Front has the default one.
func (f *Front) SchedulingPolicy() policy.Policy {
	if f == nil {
		return policy.FromSettings(nil)
	}
	return policy.FromSettings(f.GetPolicy())
}
