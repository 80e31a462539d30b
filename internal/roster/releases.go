package roster

import (
	"context"
	"time"

	"github.com/eelgrasstide/eelgrasstide/internal/keyvalue"
)

const (
	// earlierTime is for how long no host of an earlier release may be listed before none is taken to run.
	// The entry of one that is slow or cut off can be missing for a time.
	earlierTime = time.Minute
	// currentKey exists once a host has found that no host of an earlier release runs. Hosts that start
	// later rely on it at once.
	currentKey = "hosts-current"
)

// releases is what a host knows of the releases of all hosts.
type releases struct {
	// current says that no host of an earlier release runs.
	current bool
	// listed says that the last list had a host of an earlier release, and since is when this host first
	// read a list without one after that; zero if it has not.
	listed bool
	since  time.Time
}

// EarlierHosts reports whether hosts may run that do not know cancellations which bind the jobs of one
// organisation. It is true until a minute after the last list with such a host, or after the first list
// unless another host has found out before.
func (r *Roster) EarlierHosts() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.releases.current
}

func (r *Roster) setReleases(known releases) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known.current != r.releases.current {
		r.Log.WithField("earlierHosts", !known.current).Info("roster: whether hosts of an earlier release may run has changed")
	}
	r.releases = known
}

// noteReleases takes note of whether a list of hosts had none of an earlier release. Only Run calls it.
func (r *Roster) noteReleases(ctx context.Context, allCurrent bool) error {
	known := r.releases
	switch {
	case !allCurrent && known.listed:
		return nil
	case !allCurrent:
		r.setReleases(releases{})
		if _, err := r.Store.Commit(ctx, keyvalue.Txn{Deletes: []string{currentKey}}); err != nil {
			return err
		}
		r.setReleases(releases{listed: true})
		return nil
	case known.current:
		return nil
	case known.since.IsZero():
		known = releases{since: time.Now()}
		item, err := r.Store.Get(ctx, currentKey)
		if err != nil {
			return err
		}
		known.current = item != nil
	case time.Since(known.since) >= earlierTime:
		if _, err := r.Store.Commit(ctx, keyvalue.Txn{Puts: []keyvalue.Put{{Key: currentKey, Value: []byte{1}}}}); err != nil {
			return err
		}
		known.current = true
	}
	r.setReleases(known)
	return nil
}
