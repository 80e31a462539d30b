package settings

import (
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/eelgrasstide/eelgrasstide/internal/decoder"
	"github.com/eelgrasstide/eelgrasstide/internal/ingress"
	"github.com/eelgrasstide/eelgrasstide/internal/wire"
)

// minBodyMemoryMB is the memory that one submission of the largest length takes while it is read: its
// buffer and the one that it replaces.
const minBodyMemoryMB = 2

// reportIngress reports the limits on clients that cannot work. Fields that are left out have defaults,
// which are not checked.
func reportIngress(d *decoder.Decoder, set *wire.IngressSettings) {
	if set == nil {
		return
	}
	if most := set.GetMaxConnections(); set.MaxConnections != nil && most < ingress.MinConnections {
		d.Report("ingress.maxConnections", "use at least 8, or leave it out for the default", "%d is below %d", most, ingress.MinConnections)
	}
	if memory := set.GetBodyMemoryMb(); set.BodyMemoryMb != nil && memory < minBodyMemoryMB {
		d.Report("ingress.bodyMemoryMb", "use at least 2, or leave it out for the default", "%d is below %d, the memory for one body of the largest length", memory, minBodyMemoryMB)
	}
	if rate := set.GetMinBodyBytesPerSecond(); set.MinBodyBytesPerSecond != nil && rate <= 0 {
		d.Report("ingress.minBodyBytesPerSecond", "use a number above 0, or leave it out for the default", "%d is not above 0", rate)
	}
	for key, value := range map[string]*durationpb.Duration{"bodyGrace": set.GetBodyGrace(), "writeTimeout": set.GetWriteTimeout()} {
		if value != nil && value.AsDuration() <= 0 {
			d.Report("ingress."+key, `use a duration above 0, such as "5s", or leave it out for the default`, "%s is not above 0", value.AsDuration())
		}
	}
}
