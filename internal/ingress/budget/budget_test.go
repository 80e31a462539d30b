package budget_test

import (
	"testing"

	"github.com/eelgrasstide/eelgrasstide/internal/ingress/budget"
)

// Guards against: large bodies, or one client's, take the memory of small ones or of other clients; memory
// is given back twice; a legal body is refused in calm.
func TestReserve(t *testing.T) {
	b := &budget.Budget{SmallBytes: 10, Small: 20, Large: 100}
	reserve := func(what string, want bool, bytes int64, holders ...string) func() {
		t.Helper()
		release, ok := b.Reserve(bytes, holders...)
		if ok != want {
			t.Errorf("%s: have %t, want %t", what, ok, want)
		}
		return release
	}
	alone := reserve("a body larger than the part, in calm", true, 200, "a")
	reserve("a second large body", false, 11, "b")
	small := reserve("a small body beside it", true, 10, "b")
	reserve("a second small body", true, 10, "a")
	reserve("a third small body", false, 1, "c")
	small()
	small()
	reserve("a small body after one has ended", true, 10, "b")
	reserve("one more", false, 1, "b")
	alone()
	reserve("half of the large part", true, 50, "key", "address")
	reserve("more than half for one holder", false, 20, "other key", "address")
	last := reserve("another holder", true, 50, "other key", "other address")
	last()
	if have := b.Held(); have != 70 {
		t.Errorf("Held: have %d, want 70", have)
	}
}
