package reach_test

import (
	"math/rand/v2"
	"testing"

	"clementinelock/core"
	"clementinelock/core/reach"
)

func newHelpers(helpers ...reach.Helper) *reach.Helpers {
	h := &reach.Helpers{Region: "r", Zone: "z", Rand: rand.New(rand.NewPCG(1, 1))}
	h.Set(helpers)
	return h
}

// choose chooses a helper and checks its name.
func choose(t *testing.T, h *reach.Helpers, now core.Millis, want string) {
	t.Helper()
	got, found := h.Choose(now, nil, nil)
	if got.Name != want || found != (want != "") {
		t.Errorf("chose %q at %s, expected %q", got.Name, now, want)
	}
}

var threeHelpers = []reach.Helper{{Name: "far", Region: "q", Zone: "x"}, {Name: "near", Region: "r", Zone: "y"}, {Name: "own", Region: "r", Zone: "z"}}

// TestNearestHelperThatTakesRequests guards against requests that go far without need, or again and again to a host that
// can't take them.
func TestNearestHelperThatTakesRequests(t *testing.T) {
	h := newHelpers(threeHelpers...)
	choose(t, h, 1000, "own")
	h.Done(1000, "own", reach.Took)
	choose(t, h, 1010, "own")
	h.Done(1010, "own", reach.Full)
	choose(t, h, 1020, "near")
	h.Done(1020, "near", reach.Broken)
	choose(t, h, 1030, "far")
	h.Done(1030, "far", reach.Unwilling)
	choose(t, h, 1040, "")
	choose(t, h, 1200, "own")
	h.Done(1200, "own", reach.Broken)
	choose(t, h, 1400, "far")
	if got, _ := h.Choose(3000, []string{"own", "near"}, []string{"p"}); got.Name != "" {
		t.Errorf("a request that may only go to region p or this host's goes to %q", got.Name)
	}
	if got, _ := h.Choose(3000, []string{"own"}, []string{"p"}); got.Name != "near" {
		t.Errorf("a request that may go to this host's region goes to %q", got.Name)
	}
}

// TestSilentHelper guards against requests that go on being handed over to a host that has stopped without a word.
func TestSilentHelper(t *testing.T) {
	h := newHelpers(threeHelpers...)
	choose(t, h, 1000, "own")
	choose(t, h, 1100, "own")
	choose(t, h, 1600, "own")
	choose(t, h, 1800, "near")
	h.Done(1850, "own", reach.Unanswered)
	choose(t, h, 1900, "near")
	h.Done(1950, "own", reach.Took)
	choose(t, h, 2000, "own")
}

// TestRoom guards against a helper that takes more requests of others than it has room for beside its own callers.
func TestRoom(t *testing.T) {
	for _, own := range []int{0, 10} {
		r := &reach.Room{}
		admitted := 0
		for range 1000 {
			if r.Enter(own) {
				admitted++
			}
		}
		if admitted != 48+2*own || r.InFlight() != admitted {
			t.Errorf("%d requests are admitted beside %d", admitted, own)
		}
		r.Leave()
		if !r.Enter(own) || r.Enter(own) {
			t.Error("a request that has ended leaves no room, or too much")
		}
	}
}
