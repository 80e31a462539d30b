// Package settings reads and checks the settings file of an entry host.
package settings

import (
	"net/netip"
	"os"
	"regexp"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/decoder"
	"github.com/eelgrasstide/eelgrasstide/internal/errkind"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	defaultHeartbeatPeriod      = time.Second
	defaultHostLease            = 6 * time.Second
	defaultStopNotice           = 2 * time.Second
	defaultCapacity             = 256
	defaultQueueLimit           = 2048
	defaultStoreReadsPerSecond  = 100
	defaultStoreWritesPerSecond = 50
	defaultMemoryLimitMB        = 28
	defaultConnectionsPerRunner = 7
	defaultPlannerPeriod        = 500 * time.Millisecond
	defaultTaskLease            = 6 * time.Second
	defaultProgressDeadline     = time.Second
	// MinHeartbeatsPerLease is the minimum ratio of the host lease to the heartbeat period.
	MinHeartbeatsPerLease = 3
)

// Settings holds the settings of an entry host.
type Settings struct {
	*wire.HostSettings
	decoder decoder.Decoder
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Load reads a settings file, sets defaults for missing fields and checks the result. Errors
// are Invalid; an error about the content lists all mistakes.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Invalid.New("pass a readable settings file with --settings", "settings.Load: %v", err)
	}
	return Parse(path, text)
}

// Parse does the same as Load for the content of a file. Mistakes are reported under the given
// file name.
func Parse(file string, text []byte) (*Settings, error) {
	s := &Settings{HostSettings: &wire.HostSettings{}, decoder: decoder.Decoder{File: file}}
	s.decoder.Decode(text, s.HostSettings)
	s.Defaults()
	return s, s.Validate()
}

// Defaults sets the default values of fields that are not set. A number of 0 counts as
// not set.
func (s *Settings) Defaults() {
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	if s.Region == "" {
		s.Region = "default"
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	setDuration(&s.HeartbeatPeriod, defaultHeartbeatPeriod)
	setDuration(&s.HostLease, defaultHostLease)
	setDuration(&s.StopNotice, defaultStopNotice)
	setDuration(&s.PlannerPeriod, defaultPlannerPeriod)
	setDuration(&s.TaskLease, defaultTaskLease)
	setDuration(&s.ProgressDeadline, defaultProgressDeadline)
	setNumber(&s.Capacity, defaultCapacity)
	setNumber(&s.QueueLimit, defaultQueueLimit)
	setNumber(&s.StoreReadsPerSecond, defaultStoreReadsPerSecond)
	setNumber(&s.StoreWritesPerSecond, defaultStoreWritesPerSecond)
	setNumber(&s.MemoryLimitMb, defaultMemoryLimitMB)
	setNumber(&s.ConnectionsPerRunner, defaultConnectionsPerRunner)
}

func setDuration(field **durationpb.Duration, value time.Duration) {
	if *field == nil {
		*field = durationpb.New(value)
	}
}

func setNumber(field *int32, value int32) {
	if *field == 0 {
		*field = value
	}
}

// Validate returns all mistakes, those found while decoding included, as one error of kind
// Invalid, or nil.
func (s *Settings) Validate() error {
	s.checkName("name", s.Name)
	s.checkName("zone", s.Zone)
	s.checkAddress("listen", s.Listen)
	s.checkAddress("store", s.Store)
	s.checkAddress("hostList", s.HostList)
	for key, value := range map[string]int32{
		"capacity": s.Capacity, "queueLimit": s.QueueLimit, "storeReadsPerSecond": s.StoreReadsPerSecond,
		"storeWritesPerSecond": s.StoreWritesPerSecond, "memoryLimitMb": s.MemoryLimitMb, "connectionsPerRunner": s.ConnectionsPerRunner,
	} {
		if value < 0 {
			s.decoder.Report(key, "use a number above 0, or leave it out for the default", "%d is below 0", value)
		}
	}
	for key, value := range map[string]*durationpb.Duration{
		"heartbeatPeriod": s.HeartbeatPeriod, "hostLease": s.HostLease, "plannerPeriod": s.PlannerPeriod,
		"taskLease": s.TaskLease, "progressDeadline": s.ProgressDeadline,
	} {
		if value.AsDuration() <= 0 {
			s.decoder.Report(key, `use a duration above 0, such as "1s"`, "%s is not above 0", value.AsDuration())
		}
	}
	if s.HostLease.AsDuration() < MinHeartbeatsPerLease*s.HeartbeatPeriod.AsDuration() {
		s.decoder.Report("hostLease", "set it to at least 3 times heartbeatPeriod", "%s is too short: the lease could expire between heartbeats", s.HostLease.AsDuration())
	}
	if s.LogLevel != "debug" && s.LogLevel != "info" && s.LogLevel != "warn" && s.LogLevel != "error" {
		s.decoder.Report("logLevel", "use debug, info, warn or error", "%q is not a log level", s.LogLevel)
	}
	reportIngress(&s.decoder, s.Ingress)
	if memory := s.GetIngress().GetBodyMemoryMb(); s.MemoryLimitMb > 0 && memory >= s.MemoryLimitMb {
		s.decoder.Report("ingress.bodyMemoryMb", "use a part of memoryLimitMb, such as a quarter", "%d is not below memoryLimitMb, %d", memory, s.MemoryLimitMb)
	}
	return decoder.Err(s.decoder.Problems)
}

func (s *Settings) checkName(key, value string) {
	if !namePattern.MatchString(value) {
		s.decoder.Report(key, "use 1 to 63 lower-case letters, digits and dashes, and no dash at the start", "%q is not a valid name", value)
	}
}

func (s *Settings) checkAddress(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.decoder.Report(key, `use the form IP:port, such as "127.0.0.1:7400"`, "%q is not a valid address", value)
	}
}
