package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
)

func TestHistogramOfEachOrganisationAndClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1)
		defer c.close()
		submit(0, 0).run(c)
		time.Sleep(time.Second)
		histogram, ok := c.hosts[0].dispatcher.Metrics.Get("work.a.lookup.completion").(metrics.Histogram)
		if !ok || histogram.Count() != 1 {
			t.Errorf("\nhave: %v\nwant: a histogram with 1 value in the host's registry", histogram)
		}
	})
}
