// Package share divides capacity between the organisations that compete for it, by their weights and by
// what each of them has used of late. Times are passed in.
package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// DefaultHalfLife is the time after which used capacity counts half.
	DefaultHalfLife = 10 * time.Second
	// minFactor and maxFactor bound how much an organisation's use changes the order of work, so that
	// the value of a job still decides between very unlike jobs.
	minFactor, maxFactor = 0.5, 2.0
	// negligibleUse is the use, in target-seconds, below which an idle organisation is forgotten.
	negligibleUse = 0.001
)

// Ledger accounts for the capacity that each organisation uses, in target-seconds: the dominant share of a
// service's capacity times the number of its targets, over time. Set the exported fields before the first call.
// It is not safe for concurrent use.
type Ledger struct {
	// HalfLife is the time after which used capacity counts half.
	HalfLife time.Duration
	// Weights holds the organisations' weights; those left out have 1.
	Weights map[string]float64

	// accounts is in the order of the organisations, so that sums do not depend on the order of a map.
	accounts  []*account
	chargedAt time.Time
}

// account is the use of one organisation.
type account struct {
	organisation string
	// used is the decayed use up to Ledger.chargedAt, in target-seconds, and running the targets used now.
	used, running float64
	waiting       bool
	// usedPart, fairPart and factor are as Compete last found them.
	usedPart, fairPart, factor float64
	// satisfied says that the organisation waits for nothing and uses less than its fair part.
	satisfied bool
}

// SetRunning records how many targets an organisation uses from now on.
func (l *Ledger) SetRunning(now time.Time, organisation string, targets float64) {
	l.charge(now)
	l.account(organisation).running = targets
}

// charge decays all use up to now and adds what ran meanwhile.
func (l *Ledger) charge(now time.Time) {
	elapsed := now.Sub(l.chargedAt)
	if elapsed <= 0 {
		return
	}
	if l.chargedAt.IsZero() {
		l.chargedAt = now
		return
	}
	l.chargedAt = now
	kept := math.Exp(-elapsed.Seconds() / l.timeConstant())
	for _, a := range l.accounts {
		a.used = a.used*kept + a.running*l.timeConstant()*(1-kept)
	}
}

// timeConstant returns the decayed use, in target-seconds, of one target that is used all the time.
func (l *Ledger) timeConstant() float64 { return l.HalfLife.Seconds() / math.Ln2 }

// account returns the account of an organisation and opens it if needed.
func (l *Ledger) account(organisation string) *account {
	at, found := l.find(organisation)
	if !found {
		l.accounts = slices.Insert(l.accounts, at, &account{organisation: organisation, factor: 1})
	}
	return l.accounts[at]
}

func (l *Ledger) find(organisation string) (int, bool) {
	return slices.BinarySearchFunc(l.accounts, organisation, func(a *account, name string) int { return cmp.Compare(a.organisation, name) })
}

// Compete finds the used and fair parts of the organisations that compete, which are those with work that
// waits or runs, and the factors that follow. All factors are 1 while nothing is short. That of a single
// organisation is 1 too, since both of its parts are the whole.
func (l *Ledger) Compete(now time.Time, waiting map[string]bool, short bool) {
	l.charge(now)
	for organisation := range waiting {
		l.account(organisation)
	}
	l.accounts = slices.DeleteFunc(l.accounts, func(a *account) bool {
		return a.used < negligibleUse && a.running <= 0 && !waiting[a.organisation]
	})
	var competing []*account
	total := 0.0
	for _, a := range l.accounts {
		a.waiting, a.satisfied, a.usedPart, a.fairPart, a.factor = waiting[a.organisation], false, 0, 0, 1
		if a.waiting || a.running > 0 {
			competing = append(competing, a)
			total += l.recent(a)
		}
	}
	if total <= 0 {
		return
	}
	for _, a := range competing {
		a.usedPart = l.recent(a) / total
	}
	level := l.fairLevel(competing)
	for _, a := range competing {
		a.fairPart = min(level*l.weight(a), 1)
		if short {
			a.factor = factor(a.fairPart, a.usedPart)
		}
	}
}

// recent returns the targets that an organisation uses: the decayed mean and what runs now, so that work
// that has just started counts.
func (l *Ledger) recent(a *account) float64 { return a.used/l.timeConstant() + a.running }

// fairLevel returns the fair part of an organisation of weight 1. What organisations leave that wait for
// nothing and use less is divided among the others.
func (l *Ledger) fairLevel(competing []*account) float64 {
	left, weights := 1.0, 0.0
	for _, a := range competing {
		weights += l.weight(a)
	}
	for changed := true; changed; {
		changed = false
		for _, a := range competing {
			rest := weights - l.weight(a)
			if a.waiting || a.satisfied || rest <= 0 || a.usedPart >= left/weights*l.weight(a) {
				continue
			}
			a.satisfied, changed = true, true
			left, weights = left-a.usedPart, rest
		}
	}
	return left / weights
}

func (l *Ledger) weight(a *account) float64 {
	if weight := l.Weights[a.organisation]; weight > 0 {
		return weight
	}
	return 1
}

func factor(fair, used float64) float64 {
	if used <= 0 {
		return maxFactor
	}
	return min(max(fair/used, minFactor), maxFactor)
}

// Factor returns by how much the work of an organisation is preferred, as Compete last found it.
func (l *Ledger) Factor(organisation string) float64 {
	if at, found := l.find(organisation); found {
		return l.accounts[at].factor
	}
	return 1
}

// Parts returns the used and the fair part of an organisation, as Compete last found them; 0 if it does not
// compete.
func (l *Ledger) Parts(organisation string) (used, fair float64) {
	if at, found := l.find(organisation); found {
		return l.accounts[at].usedPart, l.accounts[at].fairPart
	}
	return 0, 0
}

// Organisations returns the organisations with an account in order.
func (l *Ledger) Organisations() []string {
	out := make([]string, len(l.accounts))
	for i, a := range l.accounts {
		out[i] = a.organisation
	}
	return out
}

// Usage returns the decayed use of each organisation up to now, in target-seconds.
func (l *Ledger) Usage(now time.Time) map[string]float64 {
	l.charge(now)
	out := make(map[string]float64, len(l.accounts))
	for _, a := range l.accounts {
		if a.used >= negligibleUse {
			out[a.organisation] = a.used
		}
	}
	return out
}

// Inherit adds use that another ledger returned. Values that are no finite number above 0 are ignored.
func (l *Ledger) Inherit(now time.Time, usage map[string]float64) {
	l.charge(now)
	for _, organisation := range slices.Sorted(maps.Keys(usage)) {
		if used := usage[organisation]; used > 0 && !math.IsInf(used, 0) {
			l.account(organisation).used += used
		}
	}
}
