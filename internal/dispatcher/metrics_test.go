package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
)

func TestHistogramOfEachOrganisationAndClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		defer w.close()
		submit(0, 0).run(w)
		time.Sleep(time.Second)
		held, ok := w.hosts[0].dispatcher.Metrics.Get("work.a.lookup.completion").(metrics.Histogram)
		if !ok || held.Count() != 1 {
			t.Errorf("\nhave: %v\nwant: a histogram with 1 value in the host's registry", held)
		}
	})
}
