// Package settings holds the settings of an entry host.
package settings

import (
	"net/netip"
	"os"
	"regexp"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/decoder"
	"github.com/eelgrasstide/eelgrasstide/internal/fault"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

const (
	defaultHeartbeat   = time.Second
	defaultHostLease   = 6 * time.Second
	defaultStopNotice  = 2 * time.Second
	defaultCapacity    = 256
	defaultQueueLimit  = 2048
	defaultReads       = 100
	defaultWrites      = 50
	defaultMemoryMB    = 28
	defaultConnections = 7
	defaultPlanner     = 500 * time.Millisecond
	defaultTaskLease   = 6 * time.Second
	defaultProgress    = time.Second
	// MinimumLeasePeriods is how many heartbeats have to fit in a lease.
	MinimumLeasePeriods = 3
)

// Settings is the checked settings file of an entry host.
type Settings struct {
	*wire.HostSettings
	decoder decoder.Decoder
}

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Load reads, completes and checks a settings file. The error lists every mistake.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Invalid.New("name a readable settings file with --settings", "settings.Load: %v", err)
	}
	return Parse(path, text)
}

// Parse is Load on a text.
func Parse(file string, text []byte) (*Settings, error) {
	s := &Settings{HostSettings: &wire.HostSettings{}, decoder: decoder.Decoder{File: file}}
	s.decoder.Decode(text, s.HostSettings)
	s.Defaults()
	return s, s.Validate()
}

// Defaults fills the fields that are not set.
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
	duration(&s.HeartbeatPeriod, defaultHeartbeat)
	duration(&s.HostLease, defaultHostLease)
	duration(&s.StopNotice, defaultStopNotice)
	duration(&s.PlannerPeriod, defaultPlanner)
	duration(&s.TaskLease, defaultTaskLease)
	duration(&s.ProgressDeadline, defaultProgress)
	number(&s.Capacity, defaultCapacity)
	number(&s.QueueLimit, defaultQueueLimit)
	number(&s.StoreReadsPerSecond, defaultReads)
	number(&s.StoreWritesPerSecond, defaultWrites)
	number(&s.MemoryLimitMb, defaultMemoryMB)
	number(&s.ConnectionsPerRunner, defaultConnections)
}

func duration(field **durationpb.Duration, value time.Duration) {
	if *field == nil {
		*field = durationpb.New(value)
	}
}

func number(field *int32, value int32) {
	if *field == 0 {
		*field = value
	}
}

// Validate returns every mistake as one error of kind Invalid.
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
			s.decoder.Report(key, "write a number above 0", "%d is below 0", value)
		}
	}
	for key, value := range map[string]*durationpb.Duration{
		"heartbeatPeriod": s.HeartbeatPeriod, "hostLease": s.HostLease, "plannerPeriod": s.PlannerPeriod,
		"taskLease": s.TaskLease, "progressDeadline": s.ProgressDeadline,
	} {
		if value.AsDuration() <= 0 {
			s.decoder.Report(key, `write a time above 0, such as "1s"`, "%s is not above 0", value.AsDuration())
		}
	}
	if s.HostLease.AsDuration() < MinimumLeasePeriods*s.HeartbeatPeriod.AsDuration() {
		s.decoder.Report("hostLease", "make it at least 3 times heartbeatPeriod", "%s lapses between heartbeats", s.HostLease.AsDuration())
	}
	if s.LogLevel != "debug" && s.LogLevel != "info" && s.LogLevel != "warn" && s.LogLevel != "error" {
		s.decoder.Report("logLevel", "use debug, info, warn or error", "%q is not a level", s.LogLevel)
	}
	return decoder.Err(s.decoder.Problems)
}

func (s *Settings) checkName(key, value string) {
	if !nameForm.MatchString(value) {
		s.decoder.Report(key, "use lower-case letters, digits and dashes", "%q is not a name", value)
	}
}

func (s *Settings) checkAddress(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.decoder.Report(key, `write IP:port, such as "127.0.0.1:7400"`, "%q is not an address", value)
	}
}
