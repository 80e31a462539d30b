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
		reserved, ok := b.Reserve(bytes, holders...)
		if ok != want {
			t.Errorf("%s: have %t, want %t", what, ok, want)
		}
		if !ok {
			return nil
		}
		return reserved.Release
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

// Guards against: one holder takes the whole part for small bodies, or memory that a body does not need once it
// has been read stays reserved.
func TestReserveOfSmallBodies(t *testing.T) {
	b := &budget.Budget{SmallBytes: 10, Small: 40, Large: 100}
	first, _ := b.Reserve(10, "a")
	if _, ok := b.Reserve(10, "a"); !ok {
		t.Error("half of the small part for one holder: have it refused")
	}
	if _, ok := b.Reserve(1, "a", "other"); ok {
		t.Error("more than half of the small part for one holder: have it admitted")
	}
	if _, ok := b.Reserve(10, "b"); !ok {
		t.Error("a small body of another holder: have it refused")
	}
	first.Shrink(4)
	first.Shrink(8)
	if have := b.Held(); have != 24 {
		t.Errorf("Held after one body has shrunk: have %d, want 24", have)
	}
	if _, ok := b.Reserve(6, "a"); !ok {
		t.Error("the memory that the body has given back: have it refused")
	}
}
